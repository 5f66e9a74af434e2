// Usage between entries and control processes, in encoded messages but without
// a network.
#define BOOST_TEST_MODULE site_usage_exchange
#include <boost/test/unit_test.hpp>

#include "chivefront/site/usage_coordinator.h"
#include "chivefront/site/usage_messages.h"
#include "chivefront/site/watch.h"
#include "chivefront/wire/codec.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

constexpr int64_t kPollMillis = 200;
constexpr uint64_t kFirst = 353445120; // window in which the tests begin
constexpr int64_t kStart = static_cast<int64_t>(kFirst) * 5000;

// Returns what a peer reads of aBody.
template<typename BodyT>
wire::MessageT
Transfer(const BodyT& aBody)
{
  const std::string frame = wire::EncodeFrame(wire::MakeMessage(aBody));
  const std::string_view view = frame;
  auto message = wire::DecodePayload(view.substr(0, wire::kFrameHeaderBytes),
                                     view.substr(wire::kFrameHeaderBytes));
  BOOST_REQUIRE(message.ok());
  return std::move(*message);
}

duty::DutySettings
MakeSettings()
{
  duty::DutySettings settings;
  settings.m_window = base::Millis(5000);
  settings.m_usageDue = base::Millis(10000);
  return settings;
}

struct Control
{
  explicit Control(uint64_t aEpoch)
    : m_epoch(aEpoch)
  {
  }

  wire::WatchReplyT Answer(const wire::WatchRequestT& aRequest,
                           base::TimePoint aNow)
  {
    wire::WatchReplyT reply;
    reply.registry_epoch = m_epoch;
    reply.fresh = true;
    reply.live_entries = 3;
    m_watchers.RecordPoll(aRequest, aNow);
    m_usage.Answer(aRequest, aNow, Wall(aNow), reply);
    return reply;
  }

  std::map<uint64_t, uint64_t> Decidable(base::TimePoint aNow)
  {
    std::map<uint64_t, uint64_t> counts;
    for (const auto& usage : m_usage.Decidable(m_watchers, aNow, Wall(aNow))) {
      counts[usage.m_window] = usage.m_counts.at("fida11");
    }
    return counts;
  }

  int64_t Wall(base::TimePoint aNow) const
  {
    return kStart + aNow.SinceBoot().Count() + m_clockError;
  }

  const uint64_t m_epoch;
  int64_t m_clockError = 0;
  base::Metrics m_metrics;
  control::WatcherTable m_watchers;
  UsageCoordinator m_usage{ MakeSettings(), m_metrics };
};

struct Entry
{
  Entry(const std::string& aName, const base::Clock& aClock)
    : m_clock(aClock)
    , m_log("test", aClock)
    , m_identity(MakeIdentity(aName))
    , m_watch(m_context, m_identity, {}, aClock, m_log, [](std::string_view) {
      return routing::Config::Build({});
    })
  {
    m_watch.SetUsageReporter(&m_reporter);
  }

  static net::LinkIdentity MakeIdentity(const std::string& aName)
  {
    net::LinkIdentity identity;
    identity.m_process = aName;
    identity.m_incarnation = 1;
    return identity;
  }

  // Returns the size of the encoded poll.
  size_t Poll(Control& aControl)
  {
    const wire::WatchRequestT request = m_watch.MakeRequest();
    const wire::MessageT received = Transfer(request);
    const wire::WatchReplyT reply =
      aControl.Answer(*received.body.AsWatchRequest(), m_clock.Now());
    m_watch.Accept(*Transfer(reply).body.AsWatchReply());
    return wire::EncodeFrame(wire::MakeMessage(request)).size();
  }

  const base::Clock& m_clock;
  base::DecisionLog m_log;
  net::asio::io_context m_context{ 1 };
  net::LinkIdentity m_identity;
  int64_t m_clockError = 0;
  UsageReporter m_reporter{ base::Millis(5000), m_clock, [this] {
                             return kStart + m_clockError +
                                    m_clock.Now().SinceBoot().Count();
                           } };
  Watch m_watch;
};

struct Deployment
{
  // Entries poll aControl, and each begins a request between two polls.
  void RunFor(int64_t aMillis, Control& aControl, bool aIsLeader = true)
  {
    for (int64_t i = 0; i < aMillis; i += kPollMillis) {
      aControl.m_usage.OnTick(aIsLeader, m_clock.Now());
      for (Entry* entry : { &m_a, &m_b, &m_c }) {
        (void)entry->Poll(aControl);
        entry->m_reporter.Record("fida11");
      }
      m_clock.Advance(base::Millis(kPollMillis));
    }
  }

  base::ManualClock m_clock;
  Entry m_a{ "a", m_clock };
  Entry m_b{ "b", m_clock };
  Entry m_c{ "c", m_clock };
  Control m_control{ 1 };
};

// Three entries with one request for each poll.
constexpr uint64_t kPerWindow = 3 * 5000 / kPollMillis;

} // namespace

// Guards against messages that grow, and control processes that answer, where
// no usage is counted.
BOOST_AUTO_TEST_CASE(NothingIsSentWithoutTheDuty)
{
  Deployment deployment;
  deployment.m_a.m_watch.SetUsageReporter(nullptr);
  const wire::WatchRequestT request = deployment.m_a.m_watch.MakeRequest();
  wire::WatchRequestT plain;
  plain.holder = request.holder;
  plain.fetches_documents = true;
  plain.omit_renewals = true; // in every poll
  BOOST_TEST(wire::EncodeFrame(wire::MakeMessage(request)).size() ==
             wire::EncodeFrame(wire::MakeMessage(plain)).size());
  deployment.RunFor(3000, deployment.m_control);
  const wire::WatchReplyT reply =
    deployment.m_control.Answer(plain, deployment.m_clock.Now());
  BOOST_TEST(reply.true_time_ms == 0U);
  BOOST_TEST(reply.usage_sequence == 0U);
}

// Guards against windows that are decided early, late or with wrong counts,
// while the clocks of a third of the hosts step, that of the leader too.
BOOST_FIXTURE_TEST_CASE(WindowsAreDecidedSoonAfterTheirEnd, Deployment)
{
  m_a.m_clockError = 60000;
  m_control.m_clockError = 60000;
  RunFor(5000, m_control);
  BOOST_TEST(m_control.Decidable(m_clock.Now()).empty());
  RunFor(1000, m_control);
  BOOST_TEST(m_control.Decidable(m_clock.Now())[kFirst] == kPerWindow);
  m_control.m_usage.Forget(kFirst);
  BOOST_TEST(m_control.Decidable(m_clock.Now()).empty());
  m_a.m_clockError = 0;
  m_b.m_clockError = -7000;
  RunFor(5000, m_control);
  const auto decidable = m_control.Decidable(m_clock.Now());
  BOOST_TEST(decidable.size() == 1U);
  BOOST_TEST(decidable.at(kFirst + 1) == kPerWindow);
}

// Guards against a new leader that decides with what it has, and against a
// process that decides although it does not lead.
BOOST_FIXTURE_TEST_CASE(NewLeaderHearsAllEntriesFirst, Deployment)
{
  Control leader(2);
  RunFor(6000, m_control);
  m_control.m_usage.OnTick(false, m_clock.Now());
  BOOST_TEST(m_control.Decidable(m_clock.Now()).empty());
  RunFor(1400, leader);
  BOOST_TEST(leader.Decidable(m_clock.Now()).empty());
  RunFor(400, leader);
  BOOST_TEST(leader.Decidable(m_clock.Now())[kFirst] == kPerWindow);
}

// Guards against a leader that decides with the counts of before its pause,
// because the reports of the meantime have not been read yet.
BOOST_FIXTURE_TEST_CASE(PausedLeaderHearsAllEntriesFirst, Deployment)
{
  RunFor(4000, m_control);
  m_clock.Advance(base::Millis(6000)); // all hosts are paused
  BOOST_TEST(m_control.Decidable(m_clock.Now()).empty());
  m_control.m_usage.OnTick(true, m_clock.Now());
  BOOST_TEST(m_control.Decidable(m_clock.Now()).empty());
  RunFor(2000, m_control);
  BOOST_TEST(m_control.Decidable(m_clock.Now())[kFirst] == kPerWindow * 4 / 5);
}

// Guards against an entry whose counts are lost after polls of a control
// process that takes no usage, as one of an older release or of other settings.
BOOST_FIXTURE_TEST_CASE(ProcessWithoutTheDutyTakesNoCounts, Deployment)
{
  RunFor(2000, m_control);
  for (int i = 0; i < 10; ++i) {
    (void)m_a.m_watch.MakeRequest();
    wire::WatchReplyT reply;
    reply.registry_epoch = 3;
    m_a.m_watch.Accept(reply);
  }
  RunFor(4000, m_control);
  BOOST_TEST(m_control.Decidable(m_clock.Now())[kFirst] == kPerWindow);
  wire::WatchRequestT request = m_a.m_watch.MakeRequest();
  request.usage_window_ms = 1000;
  BOOST_TEST(m_control.Answer(request, m_clock.Now()).true_time_ms == 0U);
}

// Guards against polls and relays that grow unnoticed. The sizes are those of
// docs/design/usage-counting.md.
BOOST_FIXTURE_TEST_CASE(SizeOfPolls, Deployment)
{
  const auto sizeOf = [](size_t aWindows, size_t aTeams) {
    wire::WatchRequestT request;
    request.holder = "edge-riga-a-1#12345678901234567890";
    duty::UsageReport report;
    for (size_t window = 0; window < aWindows; ++window) {
      duty::WindowUsage usage;
      usage.m_window = kFirst + window;
      for (size_t team = 0; team < aTeams; ++team) {
        usage.m_counts["team" + std::to_string(1000 + team)] = 412;
      }
      report.m_windows.push_back(usage);
    }
    if (aWindows > 0) {
      request.usage_window_ms = 5000;
      request.wall_ms = kStart;
      report.m_sequence = report.m_closedBefore = kFirst;
      AddUsageReport(report, request);
    }
    return wire::EncodeFrame(wire::MakeMessage(request)).size();
  };
  const auto sizeOfReply = [](uint64_t aTrueTime) {
    wire::WatchReplyT reply;
    reply.fresh = true;
    reply.true_time_ms = aTrueTime;
    reply.usage_sequence = aTrueTime;
    return wire::EncodeFrame(wire::MakeMessage(reply)).size();
  };
  const size_t replyBytes = sizeOfReply(kStart) - sizeOfReply(0);
  const size_t base = sizeOf(0, 0);
  const size_t windowBytes = sizeOf(2, 0) - sizeOf(1, 0);
  const size_t countBytes = (sizeOf(1, 101) - sizeOf(1, 1)) / 100;
  BOOST_TEST_MESSAGE("fixed " << sizeOf(1, 0) - base - windowBytes << " window "
                              << windowBytes << " count " << countBytes
                              << " full " << sizeOf(6, 256) - base << " reply "
                              << replyBytes);
  BOOST_TEST(replyBytes <= 72U);
  const auto sizeOfRelay = [](size_t aHolders) {
    const duty::HolderUsage usage{ "edge-riga-a-1#12345678901234567890",
                                   { { kFirst, { { "team1000", 412 } } } } };
    return wire::EncodeFrame(
             wire::MakeMessage(MakeUsageRelay(base::Millis(5000),
                                              std::vector(aHolders, usage))))
      .size();
  };
  const size_t holderBytes =
    sizeOfRelay(2) - sizeOfRelay(1) - windowBytes - countBytes;
  BOOST_TEST_MESSAGE("relay " << sizeOfRelay(1) << " holder " << holderBytes);
  BOOST_TEST(holderBytes <= 80U);
  BOOST_TEST(sizeOf(1, 0) - base - windowBytes <= 96U);
  BOOST_TEST(windowBytes <= 48U);
  BOOST_TEST(countBytes <= 48U);
}
