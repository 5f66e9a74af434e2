// An entry with a slow link to control while a large configuration is adopted.
// Promises: config, leaving
#define BOOST_TEST_MODULE slow_link
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <random>

#include "chivefront/site/node.h"
#include "chivefront/site/testing/slow_control.h"
#include "chivefront/site/watch.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

// 10 Mbit/s.
constexpr uint64_t kBytesPerMilli = 1250;
// As text that can be halved at best: at least 1.6 s on that link.
constexpr size_t kDocumentBytes = 4 * 1024 * 1024;
constexpr int64_t kAdoptMillis = 10000;
// For a small document beside silent processes: an entry may lose one call, and
// still has to poll, within the 2.5 s in which a configuration must be in
// force.
constexpr int64_t kDocumentMillis = 1000;
// Within which an entry must stop sending to an upstream that leaves.
constexpr int64_t kDrainMillis = 2500;

std::string
RandomHex(size_t aBytes)
{
  std::mt19937_64 random(1);
  std::string text(aBytes, '0');
  for (char& digit : text) {
    digit = "0123456789abcdef"[random() % 16];
  }
  return text;
}

struct SlowLinkFixture
{
  SlowLinkFixture()
  {
    std::filesystem::create_directories(m_folder);
    m_nodeIdentity.m_role = wire::Role::Control;
    m_nodeIdentity.m_process = m_nodeName;
    m_entryIdentity.m_process = "entry";
    NodeOptions options;
    options.m_folder = m_folder;
    options.m_listen = *base::Endpoint::Parse(m_nodeName);
    options.m_seeds = { m_nodeName };
    options.m_mayBootstrap = true;
    options.m_voters = 1;
    m_node = std::make_unique<Node>(
      m_context, m_nodeIdentity, options, m_events, m_metrics, m_log);
    BOOST_REQUIRE(m_node->Start().ok());
    m_slowControl =
      std::make_unique<testing::SlowControl>(m_context,
                                             m_entryIdentity,
                                             *base::Endpoint::Parse(m_nodeName),
                                             kBytesPerMilli);
    m_watch = std::make_unique<Watch>(
      m_context,
      m_entryIdentity,
      std::vector<std::string>{ m_slowControl->Name() },
      base::SteadyClock::Instance(),
      m_log,
      [](std::string_view) { return routing::Config::Build({}); });
    m_watch->Start();
  }
  ~SlowLinkFixture()
  {
    m_watch->Stop();
    m_node->Stop();
    std::filesystem::remove_all(m_folder);
  }

  // Runs until aDone or aMillis have passed. Returns whether it became true.
  bool RunUntil(const std::function<bool()>& aDone, int64_t aMillis)
  {
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(aMillis);
    while (!aDone() && std::chrono::steady_clock::now() < until) {
      m_context.restart();
      m_context.run_for(std::chrono::milliseconds(5));
    }
    return aDone();
  }

  // Commits a document. Tries again while the node does not lead yet.
  void Commit(uint64_t aNumber, std::string aDocument)
  {
    bool accepted = false;
    const Command command = Configure{ aNumber, std::move(aDocument) };
    net::Spawn(m_context.get_executor(), "test", [&]() -> net::Task<void> {
      while (!accepted) {
        Command copy = command;
        const auto outcome = co_await m_node->Commit(std::move(copy));
        accepted = outcome.ok() && *outcome == Outcome::Accepted;
        if (!accepted) { // the caller returns once it is
          co_await net::Sleep(base::Millis(20));
        }
      }
    });
    BOOST_REQUIRE(RunUntil([&] { return accepted; }, kAdoptMillis));
  }

  void Register(routing::InstanceState aState, uint64_t aSequence)
  {
    routing::Instance record;
    record.m_id = "i-1";
    record.m_service = "app";
    record.m_address = { "10.0.0.1", 80 };
    record.m_state = aState;
    record.m_born = 1;
    record.m_sequence = aSequence;
    record.m_reportedAt = base::SteadyClock::Instance().Now();
    bool acknowledged = false;
    net::Spawn(m_context.get_executor(), "test", [&]() -> net::Task<void> {
      acknowledged = (co_await m_node->Register(record)).ok();
    });
    BOOST_REQUIRE(RunUntil([&] { return acknowledged; }, kDrainMillis));
  }

  bool EntrySees(routing::InstanceState aState) const
  {
    const routing::Instance* known = m_watch->View().m_registry.Find("i-1");
    return known != nullptr && known->m_state == aState;
  }

  net::asio::io_context m_context{ 1 };
  const net::testing::ReservedPort m_port;
  const std::string m_nodeName = "127.0.0.1:" + std::to_string(m_port.Port());
  const std::string m_folder = (std::filesystem::temp_directory_path() /
                                ("slow-link-" + std::to_string(m_port.Port())))
                                 .string();
  net::LinkIdentity m_nodeIdentity;
  net::LinkIdentity m_entryIdentity;
  base::EventLog m_events{ "test", "", 10 };
  base::Metrics m_metrics;
  base::DecisionLog m_log{ "test", base::SteadyClock::Instance() };
  std::unique_ptr<Node> m_node;
  std::unique_ptr<testing::SlowControl> m_slowControl;
  std::unique_ptr<Watch> m_watch;
};

} // namespace

// Guards against an entry that adopts no configuration and hears of no leaving
// upstream, because each poll is answered with the whole configuration and
// gives up before the answer has come.
BOOST_FIXTURE_TEST_CASE(LargeConfigurationDoesNotHoldUpPolls, SlowLinkFixture)
{
  Commit(1, "{}");
  Register(routing::InstanceState::Ready, 1);
  BOOST_REQUIRE(RunUntil(
    [&] { return EntrySees(routing::InstanceState::Ready); }, kAdoptMillis));
  Commit(2, RandomHex(kDocumentBytes));
  (void)RunUntil([] { return false; }, 300);
  BOOST_TEST(m_watch->View().m_number == 1U); // it is on its way
  Register(routing::InstanceState::Draining, 2);
  BOOST_TEST(RunUntil(
    [&] { return EntrySees(routing::InstanceState::Draining); }, kDrainMillis));
  BOOST_TEST(
    RunUntil([&] { return m_watch->View().m_number == 2; }, kAdoptMillis));
}

// Guards against a configuration that comes too late because most control
// processes are silent: their links are still open, and an entry asks them for
// parts of the document.
BOOST_FIXTURE_TEST_CASE(SilentProcessesDoNotHoldUpADocument, SlowLinkFixture)
{
  net::Link::Handlers ignore;
  ignore.m_onOpen = [](const net::Link::Pointer&) {};
  ignore.m_onMessage = [](const net::Link::Pointer&, const wire::MessageT&) {};
  ignore.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
  std::vector<std::unique_ptr<net::LinkServer>> silent;
  std::vector<std::string> names{ m_slowControl->Name() };
  for (int i = 0; i < 4; ++i) {
    silent.push_back(
      std::make_unique<net::LinkServer>(m_context, m_entryIdentity, ignore));
    BOOST_REQUIRE(silent.back()->Listen({ "127.0.0.1", 0 }).ok());
    names.push_back(silent.back()->BoundEndpoint().ToString());
  }
  Commit(1, "{}");
  // Entries begin at different processes, by their incarnations.
  for (uint64_t incarnation = 1; incarnation <= 6; ++incarnation) {
    net::LinkIdentity identity = m_entryIdentity;
    identity.m_incarnation = incarnation;
    Watch watch(m_context,
                identity,
                names,
                base::SteadyClock::Instance(),
                m_log,
                [](std::string_view) { return routing::Config::Build({}); });
    watch.Start();
    // The state that names the document, then the document.
    BOOST_REQUIRE(RunUntil(
      [&] { return watch.View().m_revision == incarnation; }, kAdoptMillis));
    BOOST_TEST(RunUntil([&] { return watch.View().m_number == incarnation; },
                        kDocumentMillis),
               "incarnation " << incarnation);
    Commit(incarnation + 1, "{}");
    BOOST_TEST(
      RunUntil([&] { return watch.View().m_number == incarnation + 1; },
               kDocumentMillis),
      "incarnation " << incarnation);
    watch.Stop();
    (void)RunUntil([] { return false; }, 1200); // its coroutines end
  }
}

// Guards against an entry that never gets a configuration because a newer one
// comes before it has all of the last: changes may follow each other faster
// than they are sent.
BOOST_FIXTURE_TEST_CASE(ChangesInSeriesAreAdoptedOnTheWay, SlowLinkFixture)
{
  Commit(1, "{}");
  BOOST_REQUIRE(
    RunUntil([&] { return m_watch->View().m_number == 1; }, kAdoptMillis));
  const std::string document = RandomHex(kDocumentBytes / 16);
  uint64_t adoptedOnTheWay = 0;
  for (uint64_t number = 2; number <= 30; ++number) {
    Commit(number, document + std::to_string(number));
    (void)RunUntil([] { return false; }, 60);
    adoptedOnTheWay = m_watch->View().m_number;
  }
  BOOST_TEST(adoptedOnTheWay > 1U);
  BOOST_TEST(
    RunUntil([&] { return m_watch->View().m_number == 30; }, kAdoptMillis));
}
