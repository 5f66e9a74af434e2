// Usage between real control processes and entries on loopback links, while an
// entry and the leader are killed.
#define BOOST_TEST_MODULE site_usage_node
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <thread>

#include "chivefront/base/ids.h"
#include "chivefront/net/testing/reserved_port.h"
#include "chivefront/site/node.h"
#include "chivefront/site/watch.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

constexpr base::Millis kWindow{ 2000 };
constexpr base::Millis kDue{ 6000 };
constexpr int64_t kStartMillis = 10000;  // a group is formed within this time
constexpr int64_t kRequestPeriod = 20;   // of each entry
constexpr int64_t kClockError = 7000;    // of one entry
constexpr double kPermittedError = 0.05; // of the counts of a window
constexpr int64_t kReportPeriod = 1000;  // what an entry may lose
constexpr int64_t kPollPeriod = 200;

class TestControl
{
public:
  TestControl(const std::string& aFolder,
              const std::vector<std::string>& aSeeds,
              size_t aIndex)
  {
    m_identity.m_role = wire::Role::Control;
    m_identity.m_process = aSeeds[aIndex];
    NodeOptions options;
    options.m_folder = aFolder + "/" + aSeeds[aIndex];
    std::filesystem::create_directories(options.m_folder);
    options.m_listen = *base::Endpoint::Parse(aSeeds[aIndex]);
    options.m_seeds = aSeeds;
    options.m_mayBootstrap = true;
    options.m_duties.emplace();
    duty::DutySettings& settings = options.m_duties->m_settings;
    settings.m_duties = { duty::Duty::UsageReport };
    settings.m_window = kWindow;
    settings.m_usageDue = kDue;
    settings.m_callsPerSecond = 1;
    // The test takes the windows itself; no duty is acquired meanwhile.
    settings.m_lease = base::Millis(3600 * 1000);
    m_node = std::make_unique<Node>(
      *m_context, m_identity, options, m_events, m_metrics, m_log);
    BOOST_REQUIRE(m_node->Start().ok());
  }
  // Ends like a killed process: links close, nothing more is sent.
  ~TestControl() { m_node->Stop(); }

  // Before the node, whose sockets use it.
  std::unique_ptr<net::asio::io_context> m_context =
    std::make_unique<net::asio::io_context>(1);
  net::LinkIdentity m_identity;
  base::EventLog m_events{ "test", "", 10 };
  base::DecisionLog m_log{ "control", base::SteadyClock::Instance() };
  base::Metrics m_metrics;
  std::unique_ptr<Node> m_node;
};

class TestEntry
{
public:
  TestEntry(std::string aName,
            int64_t aClockError,
            const std::vector<std::string>& aSeeds)
    : m_identity(MakeIdentity(std::move(aName)))
    , m_reporter(
        kWindow,
        base::SteadyClock::Instance(),
        [aClockError] { return base::WallClockMillis() + aClockError; })
    , m_watch(std::make_unique<Watch>(
        *m_context,
        m_identity,
        aSeeds,
        base::SteadyClock::Instance(),
        m_log,
        [](std::string_view) { return routing::Config::Build({}); }))
  {
    m_watch->SetUsageReporter(&m_reporter);
    m_watch->Start();
  }
  // Ends like a killed process: links close, nothing more is reported.
  ~TestEntry()
  {
    m_watch->Stop();
    m_context->restart();
    m_context->run_for(std::chrono::milliseconds(kPollPeriod * 2));
  }

  static net::LinkIdentity MakeIdentity(std::string aName)
  {
    net::LinkIdentity identity;
    identity.m_role = wire::Role::Entry;
    identity.m_process = std::move(aName);
    identity.m_incarnation = base::RandomBits();
    return identity;
  }

  std::unique_ptr<net::asio::io_context> m_context =
    std::make_unique<net::asio::io_context>(1);
  net::LinkIdentity m_identity;
  base::DecisionLog m_log{ "entry", base::SteadyClock::Instance() };
  UsageReporter m_reporter;
  std::unique_ptr<Watch> m_watch;
};

struct UsageDeployment
{
  UsageDeployment()
  {
    for (const auto& port : m_ports) {
      m_seeds.push_back("127.0.0.1:" + std::to_string(port.Port()));
    }
    m_folder = (std::filesystem::temp_directory_path() /
                ("usage-node-" + std::to_string(m_ports[0].Port())))
                 .string();
    for (size_t i = 0; i < m_ports.size(); ++i) {
      m_controls.push_back(std::make_unique<TestControl>(m_folder, m_seeds, i));
    }
    const base::TimePoint until = Now() + base::Millis(kStartMillis);
    while (Leader() == nullptr && Now() < until) {
      RunFor(100);
    }
    BOOST_REQUIRE(Leader() != nullptr);
    m_entries.push_back(std::make_unique<TestEntry>("a", kClockError, m_seeds));
    m_entries.push_back(std::make_unique<TestEntry>("b", 0, m_seeds));
    m_entries.push_back(std::make_unique<TestEntry>("c", 0, m_seeds));
  }
  ~UsageDeployment()
  {
    m_entries.clear();
    m_controls.clear();
    std::filesystem::remove_all(m_folder);
  }

  static base::TimePoint Now() { return base::SteadyClock::Instance().Now(); }

  std::unique_ptr<TestControl>* Leader()
  {
    for (auto& control : m_controls) {
      if (control && control->m_node->IsLeader()) {
        return &control;
      }
    }
    return nullptr;
  }

  // Runs what is alive. Entries begin requests, and the leader decides.
  void RunFor(int64_t aMillis)
  {
    const base::TimePoint until = Now() + base::Millis(aMillis);
    while (Now() < until) {
      for (const auto& control : m_controls) {
        RunOnce(control);
      }
      for (const auto& entry : m_entries) {
        RunOnce(entry);
      }
      if (Now() - m_requestedAt >= base::Millis(kRequestPeriod)) {
        m_requestedAt = Now();
        BeginRequests();
        Decide();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  template<typename Process>
  static void RunOnce(const Process& aProcess)
  {
    if (aProcess) {
      aProcess->m_context->restart();
      aProcess->m_context->poll();
    }
  }

  void BeginRequests()
  {
    for (const auto& entry : m_entries) {
      if (entry) {
        ++m_begun[duty::WindowAt(base::WallClockMillis(), kWindow)];
        entry->m_reporter.Record("fida11");
      }
    }
  }

  void Decide()
  {
    const auto* leader = Leader();
    if (leader == nullptr) {
      return;
    }
    for (const auto& usage : (*leader)->m_node->DecidableUsage()) {
      m_decided.try_emplace(usage.m_window, usage.m_counts.at("fida11"));
      (*leader)->m_node->ForgetUsage(usage.m_window);
    }
  }

  // Runs until the next window begins. Returns its number.
  uint64_t AwaitWindow()
  {
    const uint64_t before = duty::WindowAt(base::WallClockMillis(), kWindow);
    while (duty::WindowAt(base::WallClockMillis(), kWindow) == before) {
      RunFor(1);
    }
    return before + 1;
  }

  // Whether the window was decided with the counts that began, less aLost at
  // most.
  void CheckWindow(const char* aName, uint64_t aWindow, double aLost = 0)
  {
    const auto begun = static_cast<double>(m_begun[aWindow]);
    const auto decided = static_cast<double>(m_decided[aWindow]);
    BOOST_TEST(decided <= begun * (1 + kPermittedError),
               aName << ": " << decided << " of " << begun);
    BOOST_TEST(decided >= begun * (1 - kPermittedError) - aLost,
               aName << ": " << decided << " of " << begun);
  }

  std::vector<net::testing::ReservedPort> m_ports =
    std::vector<net::testing::ReservedPort>(3);
  std::vector<std::string> m_seeds;
  std::string m_folder;
  std::vector<std::unique_ptr<TestControl>> m_controls; // null: killed
  std::vector<std::unique_ptr<TestEntry>> m_entries;    // null: killed
  base::TimePoint m_requestedAt;
  std::map<uint64_t, uint64_t> m_begun; // by window
  std::map<uint64_t, uint64_t> m_decided;
};

} // namespace

// Guards against counts that are lost beyond what a killed entry had not
// reported, counted twice after a change of the leader, or shifted by a clock
// that is wrong.
BOOST_FIXTURE_TEST_CASE(KilledEntryAndKilledLeader, UsageDeployment)
{
  const uint64_t whole = AwaitWindow() + 1;
  (void)AwaitWindow(); // entries learn the true time before it
  const uint64_t entryDies = AwaitWindow();
  RunFor(kWindow.Count() * 3 / 4);
  m_entries[2].reset();
  const uint64_t leaderDies = AwaitWindow();
  RunFor(kWindow.Count() / 2);
  auto* leader = Leader();
  BOOST_REQUIRE(leader != nullptr);
  leader->reset();
  const uint64_t last = AwaitWindow();
  (void)AwaitWindow();
  const base::TimePoint until = Now() + base::Millis(kStartMillis);
  while (m_decided.count(last) == 0 && Now() < until) {
    RunFor(kPollPeriod);
  }
  CheckWindow("before", whole);
  constexpr double kUnreported =
    static_cast<double>(kReportPeriod + kPollPeriod) / kRequestPeriod;
  CheckWindow("entry dies", entryDies, kUnreported);
  CheckWindow("leader dies", leaderDies);
  CheckWindow("after", last);
}
