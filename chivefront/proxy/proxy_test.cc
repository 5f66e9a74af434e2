// An entry between real connections: scripted upstreams and callers on
// loopback.
#define BOOST_TEST_MODULE proxy
#include <boost/test/unit_test.hpp>

#include <charconv>
#include <deque>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/proxy/entry.h"

using namespace chivefront;
using namespace chivefront::proxy;
using boost::system::error_code;
using Tcp = net::asio::ip::tcp;

namespace {

constexpr char kBreak[] = "<break>"; // in a script: the connection closes
constexpr char kHold[] = "<hold>";   // in a script: nothing more comes

// Header names of these tests.
class TestDialect final : public Dialect
{
public:
  CallerFacts ReadCaller(const Fields& aFields) const override
  {
    CallerFacts facts;
    facts.m_attempt = Get(aFields, "Id");
    facts.m_patience = base::Millis(Number(Get(aFields, "Patience"), 3000));
    facts.m_model = Get(aFields, "Model");
    facts.m_anyModel = facts.m_model == "any";
    return facts;
  }
  bool IsReserved(std::string_view aName) const override
  {
    return aName == "Patience" || aName == "Model";
  }
  void WriteForward(const ForwardFacts& aFacts,
                    std::string& aHead) const override
  {
    aHead += "Left: " + std::to_string(aFacts.m_left.Count()) + "\r\n";
    aHead += "Model: " + aFacts.m_model + "\r\n";
    if (aFacts.m_lastEvent) {
      aHead += "After: " + std::to_string(*aFacts.m_lastEvent) + "\r\n";
    }
  }
  AnswerFacts ReadAnswer(int aStatus, const Fields& aFields) const override
  {
    AnswerFacts facts;
    facts.m_attempt = Get(aFields, "Id");
    facts.m_sealed = aFields.count("Seal") > 0;
    facts.m_notRun = aStatus == 503;
    if (aFields.count("Sure") > 0) {
      facts.m_confidence = static_cast<int>(Number(Get(aFields, "Sure"), 0));
    }
    return facts;
  }

private:
  static std::string Get(const Fields& aFields, const char* aName)
  {
    const auto value = aFields[aName];
    return std::string(value.data(), value.size());
  }
  static int64_t Number(const std::string& aText, int64_t aDefault)
  {
    int64_t number = aDefault;
    (void)std::from_chars(aText.data(), aText.data() + aText.size(), number);
    return number;
  }
};

// Answers each request with the next script; "$ID" stands for the request's id.
class ScriptedUpstream
{
public:
  explicit ScriptedUpstream(net::asio::io_context& aContext)
    : m_acceptor(aContext, Tcp::endpoint(Tcp::v4(), 0))
  {
    net::Spawn(
      aContext.get_executor(), "upstream", [this] { return Accept(); });
  }

  void Answer(std::string aScript) { m_scripts.push_back(std::move(aScript)); }
  uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  std::vector<std::string> m_requests; // heads
  int m_closedByPeer = 0; // connections that ended while a script held

private:
  net::Task<void> Accept()
  {
    while (true) {
      Tcp::socket socket =
        co_await m_acceptor.async_accept(net::asio::use_awaitable);
      auto shared = std::make_shared<Tcp::socket>(std::move(socket));
      net::Spawn(m_acceptor.get_executor(), "upstream", [this, shared] {
        return Serve(shared);
      });
    }
  }

  net::Task<void> Serve(std::shared_ptr<Tcp::socket> aSocket)
  {
    std::string buffer;
    while (true) {
      error_code error;
      const size_t end = co_await net::asio::async_read_until(
        *aSocket,
        net::asio::dynamic_buffer(buffer),
        "\r\n\r\n",
        net::asio::redirect_error(net::asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      const std::string head = buffer.substr(0, end);
      buffer.erase(0, end);
      m_requests.push_back(head);
      std::string script = kBreak;
      if (!m_scripts.empty()) {
        script = m_scripts.front();
        m_scripts.pop_front();
      }
      const bool breaks = script.find(kBreak) != std::string::npos;
      const bool holds = script.find(kHold) != std::string::npos;
      script = script.substr(0, script.find('<'));
      const size_t from = head.find("\r\nId: ") + 6;
      const std::string id = head.substr(from, head.find('\r', from) - from);
      for (size_t at = script.find("$ID"); at != std::string::npos;
           at = script.find("$ID")) {
        script.replace(at, 3, id);
      }
      co_await net::asio::async_write(
        *aSocket,
        net::asio::buffer(script),
        net::asio::redirect_error(net::asio::use_awaitable, error));
      if (breaks) {
        aSocket->close(error);
        co_return;
      }
      if (holds) {
        co_await aSocket->async_wait(
          Tcp::socket::wait_read,
          net::asio::redirect_error(net::asio::use_awaitable, error));
        ++m_closedByPeer;
        co_return;
      }
    }
  }

  Tcp::acceptor m_acceptor;
  std::deque<std::string> m_scripts;
};

struct World
{
  explicit World(base::Millis aTimeout = base::Millis(2000))
    : m_watch(m_context,
              m_identity,
              {},
              base::SteadyClock::Instance(),
              m_log,
              [this](std::string_view) {
                return absl::StatusOr<routing::ConfigPointer>(m_config);
              })
    , m_one(m_context)
    , m_two(m_context)
  {
    m_identity.m_process = "entry";
    m_config = MakeConfig(aTimeout);
    // Any free port: it is closed again before the entry binds it.
    const Tcp::acceptor probe(m_context, Tcp::endpoint(Tcp::v4(), 0));
    m_port = probe.local_endpoint().port();
  }

  static routing::ConfigPointer MakeConfig(base::Millis aTimeout)
  {
    routing::ConfigParts parts;
    parts.m_number = 1;
    parts.m_services.push_back({ "app" });
    for (const char* kind : { "plain", "once", "stream" }) {
      routing::Route route;
      route.m_name = kind;
      route.m_host = "desk.example";
      route.m_prefix = "/" + std::string(kind) + "/";
      route.m_idempotent = route.m_name == "plain";
      route.m_stream = route.m_name == "stream";
      route.m_resumable = route.m_stream;
      route.m_timeout = aTimeout;
      route.m_goal = base::Millis(1000);
      route.m_pauseGoal = base::Millis(800);
      route.m_maxAttempts = 3;
      route.m_services = { { "app", 1 } };
      if (route.m_stream) {
        route.m_models = { "small", "middle", "large" };
      }
      parts.m_routes.push_back(route);
    }
    return *routing::Config::Build(std::move(parts));
  }

  void Start()
  {
    EntryOptions options;
    options.m_callers = { "127.0.0.1", m_port };
    options.m_domain = "near";
    options.m_bounds = { 1, 100, base::Millis(10000) };
    m_entry = std::make_unique<Entry>(
      m_context, options, m_watch, m_dialect, m_log, m_metrics);
    BOOST_REQUIRE(m_entry->Start().ok());
  }

  // Gives the entry its configuration and the scripted upstreams.
  void Configure(uint64_t aNumber = 1)
  {
    wire::WatchReplyT reply;
    reply.fresh = true;
    reply.snapshot = true;
    reply.revision = aNumber;
    auto entry = std::make_unique<wire::ConfigEntryT>();
    entry->key = "document/" + std::to_string(aNumber);
    entry->value = "text";
    reply.entries.push_back(std::move(entry));
    for (const ScriptedUpstream* upstream : { &m_one, &m_two }) {
      if (m_alone && upstream == &m_two) {
        continue;
      }
      auto info = std::make_unique<wire::UpstreamInfoT>();
      info->name = upstream == &m_one ? "one" : "two";
      info->service = "app";
      // The entry prefers its own failure domain.
      info->failure_domain = upstream == &m_one ? "near" : "far";
      info->address = "127.0.0.1:" + std::to_string(upstream->Port());
      info->slots = 4;
      info->sequence = 1;
      reply.upstreams.push_back(std::move(info));
    }
    m_watch.Accept(reply);
  }

  void RunFor(int64_t aMillis)
  {
    m_context.restart();
    m_context.run_for(std::chrono::milliseconds(aMillis));
  }

  // Sends aRequest on a new connection and returns what comes back until the
  // entry closes it or aMillis have passed.
  std::string Call(const std::string& aRequest, int64_t aMillis = 1500)
  {
    auto socket = std::make_shared<Tcp::socket>(m_context);
    auto got = std::make_shared<std::string>();
    auto done = std::make_shared<bool>(false);
    net::Spawn(m_context.get_executor(),
               "caller",
               [this, socket, got, done, aRequest]() -> net::Task<void> {
                 co_await Converse(socket, got, aRequest);
                 *done = true;
               });
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(aMillis);
    while (std::chrono::steady_clock::now() < until && !*done) {
      RunFor(10);
    }
    error_code ignored;
    socket->close(ignored);
    RunFor(20);
    return *got;
  }

  net::Task<void> Converse(std::shared_ptr<Tcp::socket> aSocket,
                           std::shared_ptr<std::string> aGot,
                           std::string aRequest) const
  {
    error_code error;
    const Tcp::endpoint entry(net::asio::ip::make_address("127.0.0.1"), m_port);
    co_await aSocket->async_connect(
      entry, net::asio::redirect_error(net::asio::use_awaitable, error));
    co_await net::asio::async_write(
      *aSocket,
      net::asio::buffer(aRequest),
      net::asio::redirect_error(net::asio::use_awaitable, error));
    std::array<char, 4096> space{};
    while (!error) {
      const size_t got = co_await aSocket->async_read_some(
        net::asio::buffer(space),
        net::asio::redirect_error(net::asio::use_awaitable, error));
      aGot->append(space.data(), got);
    }
    aSocket->close(error);
  }

  net::asio::io_context m_context{ 1 };
  net::LinkIdentity m_identity;
  base::DecisionLog m_log{ "test", base::SteadyClock::Instance() };
  base::Metrics m_metrics;
  TestDialect m_dialect;
  routing::ConfigPointer m_config;
  site::Watch m_watch;
  ScriptedUpstream m_one;
  ScriptedUpstream m_two;
  uint16_t m_port = 0;
  bool m_alone = false; // the entry hears of m_one only
  std::unique_ptr<Entry> m_entry;
};

struct Running : World
{
  Running()
  {
    Start();
    Configure();
  }
};

std::string
Request(const std::string& aRoute, const std::string& aMore = "")
{
  return "GET /" + aRoute + "/x HTTP/1.1\r\nHost: desk.example\r\nId: r1\r\n" +
         aMore + "Connection: close\r\n\r\n";
}

const std::string kGood =
  "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\ngood";
const std::string kEventsHead =
  "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 90\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

std::string
Chunk(const std::string& aText)
{
  constexpr char kHex[] = "0123456789abcdef";
  const size_t size = aText.size();
  return std::string(1, kHex[size >> 4]) + kHex[size & 15] + "\r\n" + aText +
         "\r\n";
}

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(AnswerIsPassedOnWhole, Running)
{
  m_one.Answer(kGood);
  const std::string answer = Call(Request("plain"));
  BOOST_TEST(Has(answer, "200 OK"));
  BOOST_TEST(Has(answer, "Seal: s"));
  BOOST_TEST(Has(answer, "\r\n\r\ngood"));
}

// An upstream that sends a second answer to an earlier request.
BOOST_FIXTURE_TEST_CASE(StrayAnswerIsReadPast, Running)
{
  m_one.Answer("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\n"
               "Content-Length: 5\r\n\r\nwrong" +
               kGood);
  const std::string answer = Call(Request("once"));
  BOOST_TEST(Has(answer, "good"));
  BOOST_TEST(!Has(answer, "wrong"));
}

// Answers that nobody vouches for, that break off, or are no HTTP.
BOOST_AUTO_TEST_CASE(SpoiltAnswersAreNeverSuccess)
{
  const std::string sealed = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n";
  const std::string encoded = "Content-Encoding: gzip\r\n";
  const std::string body = "Content-Length: 3\r\n\r\nbad";
  const std::string longer = "Content-Length: 9\r\n\r\nbad";
  const std::string end = kBreak;
  const std::vector<std::string> spoilt{
    "HTTP/1.1 200 OK\r\nId: $ID\r\n" + body,
    sealed + longer + end,
    sealed + encoded + body,
    "garbage garbage\r\n\r\n" + end,
    end,
  };
  for (const std::string& script : spoilt) {
    Running repeating;
    repeating.m_one.Answer(script);
    repeating.m_two.Answer(kGood);
    BOOST_TEST(Has(repeating.Call(Request("plain")), "good"), script);
    Running once;
    once.m_one.Answer(script);
    once.m_two.Answer(kGood);
    const std::string answer = once.Call(Request("once"));
    BOOST_TEST(Has(answer, "HTTP/1.1 502"), script);
    BOOST_TEST(Has(answer, "unknown"), script);
    BOOST_TEST(once.m_two.m_requests.empty(), script);
  }
}

// A refusal says "not run" only when nothing ran.
BOOST_FIXTURE_TEST_CASE(RejectedRequestMayBeRefused, Running)
{
  const std::string full =
    "HTTP/1.1 503 Full\r\nId: $ID\r\nContent-Length: 0\r\n\r\n";
  m_one.Answer(full);
  m_two.Answer(kGood);
  BOOST_TEST(Has(Call(Request("once")), "good"));
  RunFor(100);
  for (int i = 0; i < 3; ++i) {
    m_one.Answer(full);
    m_two.Answer(full);
  }
  const std::string refused = Call(Request("once"));
  BOOST_TEST(Has(refused, "HTTP/1.1 503"));
  BOOST_TEST(Has(refused, "Retry-After: "));
  BOOST_TEST(Has(refused, "not_run"));
}

// Pattern: an upstream is lost in the middle of an event.
BOOST_FIXTURE_TEST_CASE(StreamGoesOnElsewhereAfterItsLastEvent, Running)
{
  m_one.Answer(kEventsHead + Chunk("id: 1\ndata: a\n\n") + Chunk("id: 2\nda") +
               kBreak);
  m_two.Answer(kEventsHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  const std::string answer = Call(Request("stream", "Model: any\r\n"));
  BOOST_TEST(Has(answer, "\r\nid: 1\ndata: a\n\n\r\n"));
  BOOST_TEST(Has(answer, "\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"));
  BOOST_REQUIRE(m_two.m_requests.size() == 1U);
  BOOST_TEST(Has(m_two.m_requests[0], "After: 1"));
}

// Pattern: an upstream loses its network in the middle of a stream.
BOOST_FIXTURE_TEST_CASE(SilentStreamGoesOnElsewhere, Running)
{
  m_one.Answer(kEventsHead + Chunk("id: 1\ndata: a\n\n") + kHold);
  m_two.Answer(kEventsHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  const std::string answer = Call(Request("stream", "Model: any\r\n"));
  BOOST_TEST(Has(answer, "\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"));
  BOOST_REQUIRE(m_two.m_requests.size() == 1U);
  BOOST_TEST(Has(m_two.m_requests[0], "After: 1"));
  BOOST_TEST(m_one.m_closedByPeer == 1);
}

// A stream is not ended for its silence when no upstream could go on with it.
BOOST_FIXTURE_TEST_CASE(SilentStreamWaitsWhenNobodyElseIsThere, World)
{
  Start();
  m_alone = true;
  Configure();
  m_one.Answer(kEventsHead + Chunk("id: 1\ndata: a\n\n") + kHold);
  (void)Call(Request("stream", "Model: any\r\n"), 1200);
  BOOST_TEST(m_one.m_requests.size() == 1U);
  BOOST_TEST(m_two.m_requests.empty());
  // It was the caller that left.
  BOOST_TEST(m_one.m_closedByPeer == 1);
}

// A stream that ends for good without its end must not look complete.
BOOST_FIXTURE_TEST_CASE(StreamThatCannotGoOnLooksCut, Running)
{
  const std::string broken = kEventsHead + Chunk("id: 1\ndata: a\n\n") + kBreak;
  m_one.Answer(broken);
  m_two.Answer(kBreak);
  const std::string answer = Call(Request("stream", "Model: any\r\n"));
  BOOST_TEST(Has(answer, "id: 1"));
  BOOST_TEST(!Has(answer, "0\r\n\r\n"));
}

// The smallest model doubts its answer; none of it reaches the caller.
BOOST_FIXTURE_TEST_CASE(DoubtfulAnswerIsAskedOfALargerModel, Running)
{
  m_one.Answer("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 10\r\n"
               "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk("id: 1\ndata: poor\n\n") + kHold);
  for (ScriptedUpstream* upstream : { &m_one, &m_two }) {
    upstream->Answer(kEventsHead + Chunk("id: 1\ndata: rich\n\n") +
                     "0\r\n\r\n");
  }
  const std::string answer = Call(Request("stream", "Model: any\r\n"));
  BOOST_TEST(Has(answer, "rich"));
  BOOST_TEST(!Has(answer, "poor"));
  BOOST_TEST(Has(m_one.m_requests[0], "Model: small"));
  const std::string& second =
    m_two.m_requests.empty() ? m_one.m_requests.at(1) : m_two.m_requests[0];
  BOOST_TEST(Has(second, "Model: large"));
  BOOST_TEST(m_one.m_closedByPeer == 1); // the first run was cancelled
}

// Pattern: callers leave before their answer.
BOOST_FIXTURE_TEST_CASE(WorkEndsWhenTheCallerLeaves, Running)
{
  m_one.Answer(kHold);
  (void)Call(Request("once", "Patience: 1900\r\n"), 200);
  RunFor(100);
  BOOST_TEST(m_one.m_closedByPeer == 1);
}

BOOST_FIXTURE_TEST_CASE(TimeoutIsAnsweredInTime, Running)
{
  m_one.Answer(kHold);
  const std::string answer = Call(Request("once", "Patience: 300\r\n"), 700);
  BOOST_TEST(Has(answer, "HTTP/1.1 504"));
  BOOST_TEST(m_one.m_closedByPeer == 1);
}

// Pattern: the operator gives a route more time while requests run on it.
// (tesfaye-fans hunt-1abc-7 and hunt-c955-27, LOST: streams cut after 6 s.)
BOOST_AUTO_TEST_CASE(NewerConfigurationGivesRunningRequestsMoreTime)
{
  World world(base::Millis(300));
  world.Start();
  world.m_alone = true; // a silent stream would go on at the other upstream
  world.Configure();
  world.m_one.Answer(kEventsHead + Chunk("id: 1\ndata: a\n\n") + kHold);
  net::Spawn(
    world.m_context.get_executor(), "test", [&world]() -> net::Task<void> {
      co_await net::Sleep(base::Millis(100));
      world.m_config = World::MakeConfig(base::Millis(900));
      world.Configure(2);
    });
  const base::TimePoint start = base::SteadyClock::Instance().Now();
  (void)world.Call(Request("stream", "Model: any\r\n"), 1500);
  // It ended by the time of the newer configuration, not before.
  const base::Millis took = base::SteadyClock::Instance().Now() - start;
  BOOST_TEST(took.Count() >= 800);
  BOOST_TEST(world.m_one.m_closedByPeer == 1);
}

// Pattern: an upstream takes requests and never answers, its health is good.
BOOST_FIXTURE_TEST_CASE(SilentUpstreamIsGivenUp, Running)
{
  m_one.Answer(kHold);
  m_two.Answer(kGood);
  BOOST_TEST(Has(Call(Request("plain")), "good"));
}

// Pattern: all processes were killed; an entry is back before it knows
// anything. (salins-booking scale-1: 145 requests were refused.)
BOOST_FIXTURE_TEST_CASE(RequestsWaitForTheFirstConfiguration, World)
{
  Start();
  m_one.Answer(kGood);
  net::Spawn(m_context.get_executor(), "test", [this]() -> net::Task<void> {
    co_await net::Sleep(base::Millis(300));
    Configure();
  });
  BOOST_TEST(Has(Call(Request("plain")), "good"));
}

BOOST_FIXTURE_TEST_CASE(WithoutConfigurationRequestsAreRefused, World)
{
  Start();
  const std::string answer = Call(Request("plain", "Patience: 400\r\n"));
  BOOST_TEST(Has(answer, "HTTP/1.1 503"));
}

// Pattern: the host freezes while a connection is made; when it wakes, the
// connection and its timeout are both due. The handler of the timer must not
// reach a connection that is gone (an entry ended with code 139 on a day with
// a freeze); the address sanitizer shows it.
BOOST_FIXTURE_TEST_CASE(FreezeDuringConnectIsHarmless, Running)
{
  static constexpr base::Millis kTimeout{ 5 };
  for (int i = 0; i < 20; ++i) {
    net::Spawn(m_context.get_executor(), "test", [this]() -> net::Task<void> {
      auto connection =
        std::make_unique<UpstreamConnection>(m_context.get_executor());
      const base::Endpoint address{ "127.0.0.1", m_one.Port() };
      (void)co_await connection->Connect(address, kTimeout);
      connection.reset();
    });
  }
  m_context.restart();
  (void)m_context.poll_one(); // begins some connections
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  RunFor(50);
  m_one.Answer(kGood);
  BOOST_TEST(Has(Call(Request("plain")), "good"));
}

// A request that arrived as its idle connection was being closed is either
// answered or not passed on at all. (salins-booking trouble-3, LOST.)
BOOST_FIXTURE_TEST_CASE(DrainPassesNothingOnFromAClosedConnection, Running)
{
  for (int round = 0; round < 10; ++round) {
    m_one.Answer(kGood);
  }
  Tcp::socket socket(m_context);
  socket.connect({ net::asio::ip::make_address("127.0.0.1"), m_port });
  RunFor(20);
  // The request lies in the socket and the drain runs in the same turn.
  const std::string request =
    "GET /plain/x HTTP/1.1\r\nHost: desk.example\r\nId: r1\r\n\r\n";
  net::asio::write(socket, net::asio::buffer(request));
  net::Spawn(m_context.get_executor(), "test", [this]() -> net::Task<void> {
    co_await m_entry->Drain(base::Millis(0), base::Millis(1000));
  });
  RunFor(400);
  std::string answer(4096, '\0');
  error_code error;
  socket.non_blocking(true);
  answer.resize(socket.read_some(net::asio::buffer(answer), error));
  BOOST_TEST(Has(answer, "good") == (m_one.m_requests.size() == 1U));
  BOOST_TEST(Has(answer, "Connection: close"));
}

// Pattern: an entry is stopped while callers go on sending. (tesfaye-fans
// trouble-2 seed 532579729700, LOST: a stream was begun and cut at the end;
// seed 701827071839 and salins-booking trouble-2 seed 103794320575: one that
// was begun with 6.9 s left.)
BOOST_FIXTURE_TEST_CASE(DrainRefusesStreamsThatWouldBeCut, Running)
{
  net::Spawn(m_context.get_executor(), "test", [this]() -> net::Task<void> {
    co_await m_entry->Drain(base::Millis(1000), base::Millis(15000));
  });
  RunFor(20);
  m_one.Answer(kGood);
  const std::string refused = Call(Request("stream", "Model: any\r\n"), 300);
  BOOST_TEST(Has(refused, "HTTP/1.1 503"));
  BOOST_TEST(Has(refused, "not_run"));
  BOOST_TEST(m_one.m_requests.empty());
  BOOST_TEST(Has(Call(Request("plain"), 300), "good"));
}

BOOST_FIXTURE_TEST_CASE(SmuggledRequestsDoNotPass, Running)
{
  const std::vector<std::string> heads{
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 4\r\nContent-Length: 40\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Content-Length: -1\r\n",
  };
  for (const std::string& head : heads) {
    const std::string answer =
      Call("POST /once/x HTTP/1.1\r\nHost: desk.example\r\nId: r1\r\n" + head +
             "\r\n0\r\n\r\nGET /once/y HTTP/1.1\r\nHost: desk.example\r\n"
             "Id: r2\r\n\r\n",
           400);
    BOOST_TEST(Has(answer, "HTTP/1.1 400"), head);
    BOOST_TEST(m_one.m_requests.empty(), head);
    BOOST_TEST(m_two.m_requests.empty(), head);
  }
}
