// Commits departures, or has the leader commit them.
#include "chivefront/site/departure_recorder.h"

#include "chivefront/base/errors.h"
#include "chivefront/site/messages.h"

namespace chivefront::site {
namespace detail {

// An upstream asks another process when it has no answer after a second.
constexpr base::Millis kLeaderTimeout{ 800 };

} // namespace detail

DepartureRecorder::DepartureRecorder(std::string aName,
                                     control::Peers& aPeers,
                                     const Store& aStore,
                                     LeaderFunction aLeader,
                                     CommitFunction aCommit,
                                     base::DecisionLog& aLog)
  : m_name(std::move(aName))
  , m_peers(aPeers)
  , m_store(aStore)
  , m_leader(std::move(aLeader))
  , m_commit(std::move(aCommit))
  , m_log(aLog)
{
}

net::Task<absl::Status>
DepartureRecorder::Record(routing::Instance aInstance)
{
  if (m_store.Current()->m_departures->Holds(aInstance.m_id,
                                             aInstance.m_born,
                                             aInstance.m_state,
                                             base::WallClockMillis())) {
    co_return absl::OkStatus();
  }
  const base::TimePoint asked = base::SteadyClock::Instance().Now();
  const std::string leader = m_leader();
  // Not a conditional expression: GCC 12 miscompiles co_await in one.
  absl::Status status;
  if (leader == m_name) {
    status = co_await Commit(aInstance);
  } else {
    status = co_await RecordAtLeader(aInstance);
  }
  m_log.Record(
    "upstream_departure",
    status.ok() ? base::LogCategory::State : base::LogCategory::Failure,
    { { "upstream", aInstance.m_id },
      { "state", routing::kInstanceStateNames.Name(aInstance.m_state) },
      { "leader", leader },
      { "result",
        status.ok() ? std::string_view("durable") : base::MessageOf(status) },
      { "waited_ms", (base::SteadyClock::Instance().Now() - asked).Count() } });
  co_return status;
}

net::Task<absl::Status>
DepartureRecorder::Commit(const routing::Instance& aInstance)
{
  Command command = RecordDeparture{ { aInstance.m_id,
                                       aInstance.m_born,
                                       aInstance.m_state,
                                       base::WallClockMillis() } };
  const absl::StatusOr<Outcome> outcome = co_await m_commit(std::move(command));
  if (!outcome.ok()) {
    co_return outcome.status();
  }
  if (*outcome != Outcome::Accepted) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              "the departure was not accepted");
  }
  co_return absl::OkStatus();
}

net::Task<absl::Status>
DepartureRecorder::RecordAtLeader(const routing::Instance& aInstance)
{
  const std::string leader = m_leader();
  const net::Link::Pointer link =
    leader.empty() ? nullptr : m_peers.LinkOrConnect(leader);
  if (!link) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              "no link to a leader");
  }
  const base::TimePoint now = base::SteadyClock::Instance().Now();
  wire::AnnounceRequestT request;
  request.agent = m_name;
  request.until_durable = true;
  request.upstreams.push_back(
    std::make_unique<wire::UpstreamInfoT>(ToWire(aInstance, now)));
  wire::MessageT message = wire::MakeMessage(std::move(request));
  const auto reply =
    co_await link->Call(std::move(message), detail::kLeaderTimeout);
  if (!reply.ok()) {
    co_return reply.status();
  }
  const wire::AnnounceReplyT* answer = reply->body.AsAnnounceReply();
  if (answer == nullptr || !answer->durable) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              "the leader could not commit the departure");
  }
  co_return absl::OkStatus();
}

} // namespace chivefront::site
