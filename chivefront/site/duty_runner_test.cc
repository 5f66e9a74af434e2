// The calls of a duty's holder over a fake group and a fake service: which are
// made, repeated, replaced and confirmed, and when none is made.
#define BOOST_TEST_MODULE duty_runner
#include <boost/test/unit_test.hpp>

#include <deque>

#include "chivefront/base/errors.h"
#include "chivefront/site/duty_runner.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

constexpr base::Millis kTick{ 20 };

// Answers calls with the results of a script, then with Delivered.
class FakeService final : public DutyCaller
{
public:
  struct Received
  {
    uint64_t m_token;
    DutyReport m_report;
  };

  net::Task<CallResult> Call(uint64_t aToken,
                             DutyReport aReport,
                             std::function<bool()> aMaySend) override
  {
    if (m_onConnected) {
      m_onConnected();
    }
    if (!aMaySend()) {
      co_return CallResult::NotSent;
    }
    m_calls.push_back({ aToken, aReport });
    if (m_script.empty()) {
      co_return CallResult::Delivered;
    }
    const CallResult result = m_script.front();
    m_script.pop_front();
    co_return result;
  }

  std::vector<duty::WindowUsage> Windows() const
  {
    std::vector<duty::WindowUsage> windows;
    for (const Received& call : m_calls) {
      if (const auto* usage = std::get_if<duty::WindowUsage>(&call.m_report)) {
        windows.push_back(*usage);
      }
    }
    return windows;
  }

  std::function<void()> m_onConnected;
  std::deque<CallResult> m_script;
  std::vector<Received> m_calls;
};

// A runner on a group of one whose leadership the test sets.
struct Fixture
{
  Fixture()
  {
    m_options.m_settings.m_duties = { duty::Duty::UsageReport,
                                      duty::Duty::Autoscaling };
    m_options.m_settings.m_host = "edge-1";
    m_options.m_settings.m_callsPerSecond = 1000;
    m_options.m_settings.m_lease = base::Millis(100);
    m_options.m_caller = m_service;
    m_options.m_closedWindows = [this] { return m_closed; };
    m_options.m_scaleOrders = [this] { return m_orders; };
    m_ports.m_status = [this] { return m_status; };
    m_ports.m_confirm = [this](const auto& aDone) {
      if (m_confirms) {
        aDone(uint64_t{ 1 });
      } else {
        aDone(base::MakeError(base::ErrorKind::NotLeader, ""));
      }
    };
    m_ports.m_commit =
      [this](Command aCommand) -> net::Task<absl::StatusOr<Outcome>> {
      if (m_commitFails) {
        co_return base::MakeError(base::ErrorKind::Unavailable, "");
      }
      co_return DecodeOutcome(m_store.Apply(1, Encode(aCommand)));
    };
    m_runner = std::make_unique<DutyRunner>(m_context.get_executor(),
                                            m_options,
                                            m_ports,
                                            m_clock,
                                            m_store,
                                            m_metrics,
                                            m_log);
    m_status.m_role = consensus::RaftRole::Leader;
    m_status.m_term = 1;
  }

  // Ticks until aCheck holds; false if it never does.
  bool TickUntil(const std::function<bool()>& aCheck, int aTicks = 400)
  {
    for (int tick = 0; tick < aTicks; ++tick) {
      m_runner->OnTick(m_clock.Now());
      m_context.restart();
      m_context.run_for(kTick.ToChrono());
      m_clock.Advance(kTick);
      if (aCheck()) {
        return true;
      }
    }
    return false;
  }
  void Tick(int aTicks)
  {
    (void)TickUntil([] { return false; }, aTicks);
  }
  bool Hold()
  {
    return TickUntil(
      [this] { return m_runner->Stage() == duty::LeaseStage::Holding; });
  }
  size_t Undelivered() const
  {
    return m_store.Current()->m_duties->Undelivered().size();
  }

  base::ManualClock m_clock;
  net::asio::io_context m_context{ 1 };
  base::Metrics m_metrics;
  base::DecisionLog m_log{ "test", base::SteadyClock::Instance() };
  Store m_store{ m_clock };
  consensus::GroupStatus m_status;
  bool m_confirms = true;
  bool m_commitFails = false;
  std::vector<duty::WindowUsage> m_closed;
  std::vector<duty::ScaleOrder> m_orders;
  std::shared_ptr<FakeService> m_service = std::make_shared<FakeService>();
  DutyOptions m_options;
  DutyPorts m_ports;
  std::unique_ptr<DutyRunner> m_runner;
};

} // namespace

// Guards against a window that is lost, reported twice or with other counts
// than decided.
BOOST_FIXTURE_TEST_CASE(FailedWindowsAreRepeatedAsDecided, Fixture)
{
  m_service->m_script = { CallResult::Failed, CallResult::RateLimited };
  m_closed = { { 7, { { "hule930", 412 } } } };
  BOOST_REQUIRE(TickUntil([&] { return !m_service->m_calls.empty(); }));
  m_closed = { { 7, { { "hule930", 413 } } } }; // a late row
  BOOST_REQUIRE(TickUntil([&] { return Undelivered() == 0; }));
  Tick(50);
  const auto windows = m_service->Windows();
  BOOST_REQUIRE(windows.size() == 3U);
  for (const duty::WindowUsage& usage : windows) {
    BOOST_TEST(usage.m_window == 7U);
    BOOST_TEST(usage.m_counts.at("hule930") == 412U);
  }
  BOOST_TEST(m_service->m_calls.back().m_token == 1U);
}

// Guards against a delivered window that is sent again because its confirmation
// could not be committed.
BOOST_FIXTURE_TEST_CASE(UnconfirmedWindowIsNotSentAgain, Fixture)
{
  m_closed = { { 7, {} }, { 8, {} } };
  m_service->m_script = { CallResult::Invalid };
  m_service->m_onConnected = [this] { m_commitFails = true; };
  BOOST_REQUIRE(TickUntil([&] { return m_service->m_calls.size() == 2; }));
  Tick(50);
  BOOST_TEST(Undelivered() == 2U);
  m_commitFails = false;
  BOOST_TEST(TickUntil([&] { return Undelivered() == 0; }));
  BOOST_TEST(m_service->m_calls.size() == 2U);
}

// Guards against bytes that are written after the permission has ended during
// the connect.
BOOST_FIXTURE_TEST_CASE(NothingIsSentWithoutPermission, Fixture)
{
  BOOST_REQUIRE(Hold());
  m_service->m_onConnected = [this] {
    m_confirms = false;
    m_clock.Advance(base::Millis(500));
  };
  m_closed = { { 7, {} } };
  Tick(50);
  BOOST_TEST(m_service->m_calls.empty());
  BOOST_TEST(Undelivered() == 1U);
  m_service->m_onConnected = nullptr;
  m_confirms = true;
  BOOST_TEST(TickUntil([&] { return Undelivered() == 0; }));
}

// Guards against a process that goes on with its token after another term.
BOOST_FIXTURE_TEST_CASE(NewTermNeedsNewToken, Fixture)
{
  m_closed = { { 7, {} } };
  BOOST_REQUIRE(TickUntil([&] { return m_service->m_calls.size() == 1; }));
  m_status.m_term = 3;
  m_closed = { { 8, {} } };
  Tick(20);
  BOOST_TEST(m_service->m_calls.size() == 1U);
  BOOST_REQUIRE(TickUntil([&] { return m_service->m_calls.size() == 2; }));
  BOOST_TEST(m_service->m_calls.back().m_token == 2U);
  m_status.m_role = consensus::RaftRole::Follower;
  m_closed = { { 9, {} } };
  Tick(150);
  BOOST_TEST(m_service->m_calls.size() == 2U);
}

// Guards against a pause of a whole lease, and a repeated order, after a moment
// in which the leader could not tell that it led.
BOOST_FIXTURE_TEST_CASE(LapseInTheSameTermKeepsTheToken, Fixture)
{
  m_orders = { { "chat", "riga-a", 6 } };
  BOOST_REQUIRE(TickUntil([&] { return m_service->m_calls.size() == 1; }));
  m_status.m_role = consensus::RaftRole::Follower;
  m_closed = { { 7, {} } };
  Tick(50);
  BOOST_TEST(m_service->m_calls.size() == 1U);
  m_status.m_role = consensus::RaftRole::Leader;
  Tick(20);
  BOOST_REQUIRE(m_service->m_calls.size() == 2U);
  BOOST_TEST(m_service->m_calls.back().m_token == 1U);
}

// Guards against an outdated order that is sent after a newer one, and against
// calls that change nothing.
BOOST_FIXTURE_TEST_CASE(NewerOrderReplacesWaitingOne, Fixture)
{
  m_service->m_script = { CallResult::Failed, CallResult::Failed };
  m_orders = { { "chat", "riga-a", 6 } };
  BOOST_REQUIRE(TickUntil([&] { return m_service->m_calls.size() == 2; }));
  m_orders = { { "chat", "riga-a", 7 } };
  Tick(50);
  BOOST_REQUIRE(m_service->m_calls.size() == 3U);
  const auto last =
    std::get<duty::ScaleOrder>(m_service->m_calls.back().m_report);
  BOOST_TEST(last.m_desired == 7U);
  m_orders = { { "chat", "riga-a", 6 }, { "chat", "riga-b", 2 } };
  Tick(50);
  BOOST_TEST(m_service->m_calls.size() == 5U);
}

// Guards against a service that is called more often than it accepts, here 2
// calls in 1,250 ms.
BOOST_AUTO_TEST_CASE(CallsKeepTheRate)
{
  Fixture fixture;
  fixture.m_options.m_settings.m_callsPerSecond = 2;
  fixture.m_runner =
    std::make_unique<DutyRunner>(fixture.m_context.get_executor(),
                                 fixture.m_options,
                                 fixture.m_ports,
                                 fixture.m_clock,
                                 fixture.m_store,
                                 fixture.m_metrics,
                                 fixture.m_log);
  for (uint64_t window = 1; window <= 9; ++window) {
    fixture.m_closed.push_back({ window, {} });
  }
  BOOST_REQUIRE(
    fixture.TickUntil([&] { return !fixture.m_service->m_calls.empty(); }));
  const base::TimePoint first = fixture.m_clock.Now();
  BOOST_REQUIRE(
    fixture.TickUntil([&] { return fixture.m_service->m_calls.size() == 4; }));
  BOOST_TEST((fixture.m_clock.Now() - first).Count() >= 3 * 625 - 2 * 20);
}
