// What a control process tells another one of upstreams, and when.
#define BOOST_TEST_MODULE site_announcer
#include <boost/test/unit_test.hpp>

#include "chivefront/net/testing/reserved_port.h"
#include "chivefront/site/announcer.h"
#include "chivefront/site/messages.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

// A control process that announces, and another one that listens.
struct TwoProcesses
{
  TwoProcesses()
    : m_peerName("127.0.0.1:" + std::to_string(m_port.Port()))
    , m_server(m_context, m_peerIdentity, ServerHandlers())
    , m_peers(m_context, m_identity, {}, IdleHandlers())
    , m_announcer(m_context.get_executor(), "a", m_peers, m_registry, m_clock)
  {
    m_identity.m_process = "a";
    m_peerIdentity.m_process = m_peerName;
    m_clock.Advance(base::Millis(100000));
    BOOST_REQUIRE(m_server.Listen(*base::Endpoint::Parse(m_peerName)).ok());
    m_announcer.SetPeers({ m_peerName });
    for (int i = 0; i < 100 && !m_peers.LinkOrConnect(m_peerName); ++i) {
      Run(20);
    }
    BOOST_REQUIRE(m_peers.LinkTo(m_peerName) != nullptr);
  }
  ~TwoProcesses()
  {
    m_server.Stop();
    m_peers.Stop();
    Run(50);
  }

  static net::Link::Handlers IdleHandlers()
  {
    net::Link::Handlers handlers;
    handlers.m_onOpen = [](const net::Link::Pointer&) {};
    handlers.m_onMessage = [](const net::Link::Pointer&,
                              const wire::MessageT&) {};
    handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
    return handlers;
  }
  net::Link::Handlers ServerHandlers()
  {
    net::Link::Handlers handlers = IdleHandlers();
    handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                  const wire::MessageT& aMessage) {
      const wire::AnnounceRequestT& request =
        *aMessage.body.AsAnnounceRequest();
      ++m_announcements;
      m_records += request.upstreams.size();
      if (m_whileCalling) {
        std::exchange(m_whileCalling, nullptr)();
      }
      (void)aLink->Reply(aMessage.correlation, wire::AnnounceReplyT());
    };
    return handlers;
  }

  void Run(int64_t aMillis)
  {
    m_context.restart();
    m_context.run_for(std::chrono::milliseconds(aMillis));
  }

  // An upstream sends its next record.
  void Register(int aUpstream, routing::InstanceState aState)
  {
    routing::Instance record;
    record.m_id = "i-" + std::to_string(aUpstream);
    record.m_address = { "10.0.0.1", static_cast<uint16_t>(aUpstream + 1) };
    record.m_state = aState;
    record.m_born = 1;
    record.m_sequence = ++m_sequence;
    record.m_reportedAt = m_clock.Now();
    const routing::MergeResult result = m_registry.MergeRecord(record);
    if (result == routing::MergeResult::Changed) {
      m_announcer.Announce(record.m_id);
    } else {
      m_announcer.AnnounceRenewal(record.m_id);
    }
  }
  void RegisterAll(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Register(i, routing::InstanceState::Ready);
    }
  }
  // Time passes with a tick each 200 ms.
  void Pass(int64_t aMillis)
  {
    for (int64_t passed = 0; passed < aMillis; passed += 200) {
      m_clock.Advance(base::Millis(200));
      m_announcer.OnTick();
      Run(10);
    }
  }

  const net::testing::ReservedPort m_port;
  const std::string m_peerName;
  net::asio::io_context m_context{ 1 };
  net::LinkIdentity m_identity;
  net::LinkIdentity m_peerIdentity;
  size_t m_announcements = 0;
  size_t m_records = 0;
  std::function<void()> m_whileCalling; // run once, before the next answer
  uint64_t m_sequence = 0;
  base::ManualClock m_clock;
  net::LinkServer m_server;
  control::Peers m_peers;
  routing::Registry m_registry;
  Announcer m_announcer;
};

} // namespace

// Guards against traffic between control processes that grows with upstreams
// times processes each second: each renewal was passed on at once.
BOOST_FIXTURE_TEST_CASE(RenewalsGoInBatches, TwoProcesses)
{
  RegisterAll(50);
  Run(50);
  BOOST_TEST(m_records == 50U);
  Pass(kRenewalPeriod.Count());
  m_announcements = m_records = 0;
  constexpr int64_t kPeriods = 3;
  for (int64_t second = 0; second < 2 * kPeriods; ++second) {
    RegisterAll(50);
    Pass(1000);
  }
  // One batch a period, of each upstream once.
  BOOST_TEST(m_announcements <= static_cast<size_t>(kPeriods) + 1);
  BOOST_TEST(m_announcements >= static_cast<size_t>(kPeriods) - 1);
  BOOST_TEST(m_records == m_announcements * 50);
}

// Guards against a change that waits for the next batch, and against a batch
// that takes it for a renewal.
BOOST_FIXTURE_TEST_CASE(ChangesGoAtOnce, TwoProcesses)
{
  RegisterAll(3);
  Run(50);
  Pass(kRenewalPeriod.Count());
  m_records = 0;
  RegisterAll(3);
  Register(1, routing::InstanceState::Draining);
  Run(50);
  BOOST_TEST(m_records == 1U);
}

// Guards against renewals that follow each other without a pause: a record that
// was renewed while it was on its way was sent again at once.
BOOST_FIXTURE_TEST_CASE(RenewalDuringACallWaitsForTheNextBatch, TwoProcesses)
{
  m_whileCalling = [this] { Register(0, routing::InstanceState::Ready); };
  RegisterAll(1);
  Run(50);
  BOOST_TEST(m_records == 1U);
  Pass(kRenewalPeriod.Count());
  BOOST_TEST(m_records == 2U);
}

// Guards against a change that is lost because it came while an older record
// was on its way.
BOOST_FIXTURE_TEST_CASE(ChangeDuringACallFollowsAtOnce, TwoProcesses)
{
  m_whileCalling = [this] { Register(0, routing::InstanceState::Draining); };
  RegisterAll(1);
  Run(50);
  BOOST_TEST(m_records == 2U);
}
