// The network thread of chivefrontctl, and the calls that wait for it.
#include "chivefront/ctl/control_client.h"

#include <future>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"

namespace chivefront::ctl {
namespace detail {

// Longer than an election, so that an attempt lasts until a new leader replies.
constexpr base::Millis kAttemptTimeout{ 2000 };
constexpr base::Millis kStatusPollInterval{ 100 };
// When no process with a fresh view has answered within this time, the status
// of a process without a fresh view is accepted.
constexpr base::Millis kFreshStatusTimeout{ 1500 };
constexpr size_t kMinSecretBytes = 8;

absl::StatusOr<std::vector<base::Endpoint>>
ParseEndpoints(const std::string& aText)
{
  std::vector<base::Endpoint> endpoints;
  size_t start = 0;
  while (start <= aText.size() && !aText.empty()) {
    const size_t end = std::min(aText.find(',', start), aText.size());
    const auto endpoint =
      base::Endpoint::Parse(aText.substr(start, end - start));
    if (!endpoint) {
      return base::MakeError(base::ErrorKind::BadRequest,
                             "--control: '" + aText.substr(start, end - start) +
                               "' is not IP:PORT");
    }
    endpoints.push_back(*endpoint);
    start = end + 1;
  }
  if (endpoints.empty()) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "--control (or CHIVEFRONT_CONTROL) is required");
  }
  return endpoints;
}

// Returns a number or a flag (as 0 or 1) of a status reply; 0 when the member
// is absent.
uint64_t
StatusNumber(const wire::MessageT& aMessage, const char* aName)
{
  const wire::StatusReplyT* reply = aMessage.body.AsStatusReply();
  boost::json::error_code error;
  const auto value =
    boost::json::parse(reply == nullptr ? "" : reply->json, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(aName);
  if (member == nullptr) {
    return 0;
  }
  if (const bool* flag = member->if_bool()) {
    return *flag ? 1 : 0;
  }
  boost::json::error_code notNumber;
  const auto number = member->to_number<uint64_t>(notNumber);
  return notNumber ? 0 : number;
}

} // namespace detail

absl::StatusOr<std::unique_ptr<ControlClient>>
ControlClient::Open(const ControlClientOptions& aOptions)
{
  auto control = detail::ParseEndpoints(aOptions.m_control);
  if (!control.ok()) {
    return control.status();
  }
  if (aOptions.m_secret.size() < detail::kMinSecretBytes) {
    return base::MakeError(
      base::ErrorKind::BadRequest,
      "--secret (or CHIVEFRONT_SECRET) of at least 8 bytes is required");
  }
  return std::unique_ptr<ControlClient>(
    new ControlClient(aOptions, std::move(*control)));
}

ControlClient::ControlClient(const ControlClientOptions& aOptions,
                             std::vector<base::Endpoint> aControl)
  : m_options(aOptions)
  , m_control(m_context, m_identity, std::move(aControl))
{
  m_identity.m_role = wire::Role::Operator;
  m_identity.m_cluster = aOptions.m_cluster;
  m_identity.m_secret = aOptions.m_secret;
  m_identity.m_process = "chivefrontctl";
  m_identity.m_incarnation = base::RandomBits();
  m_control.Start();
  m_thread = std::thread([this] {
    const auto work = net::asio::make_work_guard(m_context);
    m_context.run();
  });
}

ControlClient::~ControlClient()
{
  m_control.Stop();
  m_context.stop();
  m_thread.join();
}

absl::StatusOr<wire::MessageT>
ControlClient::Call(wire::MessageT aMessage,
                    base::Millis aTimeout,
                    client::ControlLinks::ReplyPredicate aAccept)
{
  auto promise =
    std::make_shared<std::promise<absl::StatusOr<wire::MessageT>>>();
  auto future = promise->get_future();
  auto message = std::make_shared<wire::MessageT>(std::move(aMessage));
  const base::TimePoint deadline =
    base::SteadyClock::Instance().Now() + aTimeout;
  net::Spawn(
    m_context.get_executor(),
    "ctl",
    [this, promise, message, deadline, aAccept]() -> net::Task<void> {
      auto reply = co_await m_control.CallUntil(
        std::move(*message), detail::kAttemptTimeout, deadline, aAccept);
      promise->set_value(std::move(reply));
    });
  return future.get();
}

absl::StatusOr<Configuration>
ControlClient::FetchConfiguration()
{
  wire::WatchRequestT request;
  request.holder = "chivefrontctl";
  request.role = wire::Role::Operator;
  auto reply = Call(wire::MakeMessage(std::move(request)),
                    m_options.m_timeout,
                    [](const wire::MessageT& aReply) {
                      const auto* watch = aReply.body.AsWatchReply();
                      return watch != nullptr && watch->fresh;
                    });
  if (!reply.ok()) {
    return reply.status();
  }
  const wire::WatchReplyT& watch = *reply->body.AsWatchReply();
  Configuration configuration;
  configuration.m_revision = watch.revision;
  for (const auto& entry : watch.entries) {
    if (!entry->removed) {
      configuration.m_entries[entry->key] = entry->value;
    }
  }
  return configuration;
}

absl::StatusOr<wire::ChangeReplyT>
ControlClient::Submit(wire::ChangeRequestT aChange)
{
  auto reply = Call(wire::MakeMessage(std::move(aChange)),
                    m_options.m_timeout,
                    [](const wire::MessageT& aReply) {
                      const auto* change = aReply.body.AsChangeReply();
                      return change != nullptr &&
                             change->result != wire::ChangeResult::NotLeader &&
                             change->result != wire::ChangeResult::Unavailable;
                    });
  if (!reply.ok()) {
    return reply.status();
  }
  return std::move(*reply->body.AsChangeReply());
}

absl::Status
ControlClient::WaitInForce(uint64_t aRevision)
{
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint deadline = clock.Now() + m_options.m_timeout;
  while (clock.Now() < deadline) {
    auto reply = Call(wire::MakeMessage(wire::StatusRequestT{}),
                      deadline - clock.Now(),
                      [](const wire::MessageT& aReply) {
                        return aReply.body.AsStatusReply() != nullptr;
                      });
    if (reply.ok() && detail::StatusNumber(*reply, "in_force") >= aRevision) {
      return absl::OkStatus();
    }
    std::this_thread::sleep_for(detail::kStatusPollInterval.ToChrono());
  }
  return base::MakeError(base::ErrorKind::Unavailable,
                         "not confirmed to be in force everywhere in time");
}

absl::StatusOr<std::string>
ControlClient::FetchStatusJson()
{
  const auto fetch = [this](base::Millis aTimeout, bool aNeedFresh) {
    return Call(wire::MakeMessage(wire::StatusRequestT{}),
                aTimeout,
                [aNeedFresh](const wire::MessageT& aReply) {
                  return aReply.body.AsStatusReply() != nullptr &&
                         (!aNeedFresh ||
                          detail::StatusNumber(aReply, "fresh") != 0);
                });
  };
  auto reply =
    fetch(std::min(detail::kFreshStatusTimeout, m_options.m_timeout), true);
  if (!reply.ok()) {
    reply = fetch(m_options.m_timeout, false);
  }
  if (!reply.ok()) {
    return reply.status();
  }
  return reply->body.AsStatusReply()->json;
}

absl::StatusOr<wire::LedgerReplyT>
ControlClient::CallLedger(wire::LedgerRequestT aRequest)
{
  auto reply = Call(wire::MakeMessage(std::move(aRequest)),
                    m_options.m_timeout,
                    [](const wire::MessageT& aReply) {
                      const auto* ledger = aReply.body.AsLedgerReply();
                      return ledger != nullptr && ledger->ok;
                    });
  if (!reply.ok()) {
    return reply.status();
  }
  return std::move(*reply->body.AsLedgerReply());
}

} // namespace chivefront::ctl
