// Test fixture: an entry between scripted upstreams and callers, connected over
// loopback TCP.
#pragma once

#include <poll.h>

#include <charconv>
#include <deque>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/net/testing/flood.h"
#include "chivefront/net/testing/reserved_port.h"
#include "chivefront/proxy/entry.h"
#include "chivefront/site/messages.h"

namespace chivefront::proxy::testing {

using boost::system::error_code;
using Tcp = net::asio::ip::tcp;

// Commands in the script of an upstream: close the connection, send nothing
// more and keep it open, pause for 250 ms, or send bytes until the entry closes
// the connection.
inline constexpr char kCloseConnection[] = "<break>";
inline constexpr char kHoldConnection[] = "<hold>";
inline constexpr char kPauseWriting[] = "<pause>";
inline constexpr char kFloodConnection[] = "<flood>";

// Maps the header names of these tests.
class TestHeaderCodec final : public HeaderCodec
{
public:
  RequestMetadata ParseRequestHeaders(const Fields& aFields) const override
  {
    RequestMetadata metadata;
    metadata.m_attemptId = Get(aFields, "Id");
    metadata.m_timeout = base::Millis(ToNumber(Get(aFields, "Patience"), 3000));
    metadata.m_model = Get(aFields, "Model");
    metadata.m_anyModel = metadata.m_model == "any";
    // "Parts" has one letter for each part of the prompt.
    for (const char part : Get(aFields, "Parts")) {
      metadata.m_promptParts.push_back({ std::string(1, part), 1 });
    }
    return metadata;
  }
  bool IsReserved(std::string_view aName) const override
  {
    return aName == "Patience" || aName == "Model";
  }
  void AppendForwardHeaders(const ForwardMetadata& aMetadata,
                            std::string& aHead) const override
  {
    aHead += "Left: " + std::to_string(aMetadata.m_timeLeft.Count()) + "\r\n";
    aHead += "Model: " + aMetadata.m_model + "\r\n";
    if (aMetadata.m_lastEventId) {
      aHead += "After: " + std::to_string(*aMetadata.m_lastEventId) + "\r\n";
    }
  }
  ResponseMetadata ParseResponseHeaders(int aStatus,
                                        const Fields& aFields) const override
  {
    ResponseMetadata metadata;
    metadata.m_attemptId = Get(aFields, "Id");
    metadata.m_sealed = aFields.count("Seal") > 0;
    metadata.m_notRun = aStatus == 503 && aFields.count("Ran") == 0;
    if (aFields.count("Limit") > 0) {
      metadata.m_requestLimit =
        static_cast<double>(ToNumber(Get(aFields, "Limit"), 0));
    }
    if (aFields.count("Rest") > 0) {
      metadata.m_retryAfter = base::Millis(ToNumber(Get(aFields, "Rest"), 0));
    }
    metadata.m_leaving = aFields.count("Leaving") > 0;
    if (aFields.count("Waiting") > 0) {
      metadata.m_load.emplace();
      metadata.m_load->m_waiting =
        static_cast<uint32_t>(ToNumber(Get(aFields, "Waiting"), 0));
    }
    if (aFields.count("Sure") > 0) {
      metadata.m_confidence =
        static_cast<int>(ToNumber(Get(aFields, "Sure"), 0));
    }
    return metadata;
  }

private:
  static std::string Get(const Fields& aFields, const char* aName)
  {
    const auto value = aFields[aName];
    return std::string(value.data(), value.size());
  }
  static int64_t ToNumber(const std::string& aText, int64_t aDefault)
  {
    int64_t number = aDefault;
    (void)std::from_chars(aText.data(), aText.data() + aText.size(), number);
    return number;
  }
};

// An upstream that responds to each request with the next script, or closes the
// connection if there is none. "$ID" in a script stands for the request's id.
class ScriptedUpstream
{
public:
  explicit ScriptedUpstream(net::asio::io_context& aContext)
    : m_acceptor(aContext, Tcp::endpoint(Tcp::v4(), 0))
  {
    net::Spawn(
      aContext.get_executor(), "upstream", [this] { return Accept(); });
  }

  void AddScript(std::string aScript)
  {
    m_scripts.push_back(std::move(aScript));
  }
  uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  // Whether a connection was made, accepted or not.
  bool IsConnectedTo()
  {
    pollfd listening{ m_acceptor.native_handle(), POLLIN, 0 };
    return m_accepted > 0 || ::poll(&listening, 1, 0) > 0;
  }

  std::vector<std::string> m_requests; // heads of the requests received
  std::string m_repeatedScript;        // used when no other one is left
  // Connections that the entry closed at <hold> or <flood>.
  int m_closedByPeer = 0;
  size_t m_floodedBytes = 0;     // sent at <flood>
  std::string m_floodText = "x"; // repeated at <flood>

private:
  net::Task<void> Accept()
  {
    while (true) {
      Tcp::socket socket =
        co_await m_acceptor.async_accept(net::asio::use_awaitable);
      ++m_accepted;
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
      std::string script =
        m_repeatedScript.empty() ? kCloseConnection : m_repeatedScript;
      if (!m_scripts.empty()) {
        script = m_scripts.front();
        m_scripts.pop_front();
      }
      const bool breaks = script.find(kCloseConnection) != std::string::npos;
      const bool holds = script.find(kHoldConnection) != std::string::npos;
      const bool floods = script.find(kFloodConnection) != std::string::npos;
      script = script.substr(0,
                             script.find(breaks   ? kCloseConnection
                                         : floods ? kFloodConnection
                                                  : kHoldConnection));
      const size_t from = head.find("\r\nId: ") + 6;
      const std::string id = head.substr(from, head.find('\r', from) - from);
      for (size_t at = script.find("$ID"); at != std::string::npos;
           at = script.find("$ID")) {
        script.replace(at, 3, id);
      }
      co_await Write(*aSocket, std::move(script));
      if (floods) {
        m_floodedBytes +=
          co_await net::testing::WriteWithoutEnd(*aSocket, "", m_floodText);
        ++m_closedByPeer;
        co_return;
      }
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

  static net::Task<void> Write(Tcp::socket& aSocket, std::string aScript)
  {
    while (!aScript.empty()) {
      const size_t pause = aScript.find(kPauseWriting);
      const std::string part = aScript.substr(0, pause);
      error_code error;
      co_await net::asio::async_write(
        aSocket,
        net::asio::buffer(part),
        net::asio::redirect_error(net::asio::use_awaitable, error));
      if (error || pause == std::string::npos) {
        co_return;
      }
      co_await net::Sleep(base::Millis(250));
      aScript.erase(0, pause + sizeof(kPauseWriting) - 1);
    }
  }

  Tcp::acceptor m_acceptor;
  int m_accepted = 0;
  std::deque<std::string> m_scripts;
};

struct EntryFixture
{
  explicit EntryFixture(base::Millis aTimeout = base::Millis(2000))
    : m_watch(m_context,
              m_identity,
              {},
              base::SteadyClock::Instance(),
              m_log,
              [this](std::string_view) {
                return absl::StatusOr<routing::ConfigPointer>(m_config);
              })
    , m_near(m_context)
    , m_far(m_context)
  {
    m_identity.m_process = "entry";
    m_config = MakeConfig(aTimeout);
  }

  static routing::ConfigPointer MakeConfig(
    base::Millis aTimeout,
    std::vector<routing::Team> aTeams = {})
  {
    routing::ConfigParts parts;
    parts.m_number = 1;
    parts.m_teams = std::move(aTeams);
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
    options.m_listen = { "127.0.0.1", m_port };
    options.m_domain = "near";
    options.m_retryBudget = { 1, 100, base::Millis(10000) };
    options.m_maxHeldBytes = m_maxHeldBytes;
    options.m_usageWindow = m_usageWindow;
    m_entry = std::make_unique<Entry>(
      m_context, options, m_watch, m_headerCodec, m_log, m_metrics);
    BOOST_REQUIRE(m_entry->Start().ok());
  }

  // Gives the entry its configuration and registers the scripted upstreams.
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
    if (!m_nearVersion.empty()) {
      AddRollout(reply);
    }
    // The entry prefers upstreams of its own failure domain.
    if (!m_withoutNear) {
      AddUpstream("one", "near", m_near, m_nearVersion, reply);
    }
    if (!m_onlyNear) {
      AddUpstream("two", "far", m_far, m_farVersion, reply);
    }
    if (m_secondFar) {
      AddUpstream("three", "far", *m_secondFar, m_farVersion, reply);
    }
    m_watch.Accept(reply);
  }

  static void AddUpstream(const std::string& aName,
                          const std::string& aDomain,
                          const ScriptedUpstream& aUpstream,
                          const std::string& aVersion,
                          wire::WatchReplyT& aReply)
  {
    auto info = std::make_unique<wire::UpstreamInfoT>();
    info->name = aName;
    info->service = "app";
    info->failure_domain = aDomain;
    info->address = "127.0.0.1:" + std::to_string(aUpstream.Port());
    info->slots = 4;
    info->version = aVersion;
    info->sequence = 1;
    aReply.upstreams.push_back(std::move(info));
  }

  // Adds a roll-out of m_nearVersion in its last phase, so that it gets all
  // requests.
  void AddRollout(wire::WatchReplyT& aReply) const
  {
    constexpr base::Millis kSpan{ 100000 };
    const base::TimePoint now = base::SteadyClock::Instance().Now();
    site::State state;
    site::Rollout& rollout = state.m_rollouts["app"];
    rollout.m_version = m_nearVersion;
    rollout.m_span = kSpan;
    rollout.m_orderedAt = 1;
    rollout.m_started = now - kSpan * 9 / 10;
    for (auto& entry : site::ToEntries(state, 0, now)) {
      aReply.entries.push_back(std::move(entry));
    }
  }

  // What the entry reports of the version that is rolled out.
  wire::VersionEvidenceT NewVersionEvidence()
  {
    for (const auto& row : m_watch.MakeRequest().evidence) {
      if (row->version == "app/" + m_nearVersion) {
        return *row;
      }
    }
    return {};
  }

  // Tells the entry that an upstream has left.
  void Unregister(const std::string& aName, const ScriptedUpstream& aUpstream)
  {
    wire::WatchReplyT reply;
    reply.fresh = true;
    AddUpstream(aName, "near", aUpstream, "", reply);
    reply.upstreams.back()->removed = true;
    reply.upstreams.back()->sequence = 2;
    m_watch.Accept(reply);
  }

  // Makes the entry refuse requests whose prompt has the part.
  void Quarantine(const std::string& aPartId)
  {
    wire::WatchReplyT reply;
    auto row = std::make_unique<wire::QuarantinedPartT>();
    row->part = routing::MakePartKey("app", aPartId);
    row->remaining_ms = 60000;
    reply.quarantined_parts.push_back(std::move(row));
    m_watch.Accept(reply);
  }

  void RunFor(int64_t aMillis)
  {
    m_context.restart();
    m_context.run_for(std::chrono::milliseconds(aMillis));
  }

  // Sends aRequest on a new connection and returns the bytes that are received
  // until the entry closes it or aMillis have passed.
  std::string Call(const std::string& aRequest, int64_t aMillis = 1500)
  {
    auto socket = std::make_shared<Tcp::socket>(m_context);
    auto received = std::make_shared<std::string>();
    auto done = std::make_shared<bool>(false);
    net::Spawn(m_context.get_executor(),
               "caller",
               [this, socket, received, done, aRequest]() -> net::Task<void> {
                 co_await ExchangeBytes(socket, received, aRequest);
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
    return *received;
  }

  // Sends aRequest on a new connection and returns where the bytes received are
  // collected. The connection stays open until the entry closes it.
  std::shared_ptr<std::string> StartCall(const std::string& aRequest)
  {
    auto socket = std::make_shared<Tcp::socket>(m_context);
    auto received = std::make_shared<std::string>();
    net::Spawn(m_context.get_executor(),
               "caller",
               [this, socket, received, aRequest]() -> net::Task<void> {
                 return ExchangeBytes(socket, received, aRequest);
               });
    return received;
  }

  net::Task<void> ExchangeBytes(std::shared_ptr<Tcp::socket> aSocket,
                                std::shared_ptr<std::string> aReceived,
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
    if (m_callerReadDelay > base::Millis(0)) {
      co_await net::Sleep(m_callerReadDelay);
    }
    std::array<char, 65536> buffer{};
    while (!error) {
      const size_t received = co_await aSocket->async_read_some(
        net::asio::buffer(buffer),
        net::asio::redirect_error(net::asio::use_awaitable, error));
      aReceived->append(buffer.data(), received);
    }
    aSocket->close(error);
  }

  net::asio::io_context m_context{ 1 };
  net::LinkIdentity m_identity;
  base::DecisionLog m_log{ "test", base::SteadyClock::Instance() };
  base::Metrics m_metrics;
  TestHeaderCodec m_headerCodec;
  routing::ConfigPointer m_config;
  site::Watch m_watch;
  ScriptedUpstream m_near;
  ScriptedUpstream m_far;
  const net::testing::ReservedPort m_reservedPort;
  const uint16_t m_port = m_reservedPort.Port();
  std::string m_nearVersion; // being rolled out; empty: no roll-out
  std::string m_farVersion;
  size_t m_maxHeldBytes = EntryOptions().m_maxHeldBytes;
  base::Millis m_usageWindow{ 0 };
  bool m_onlyNear = false;                       // m_far is not registered
  bool m_withoutNear = false;                    // m_near is not registered
  std::unique_ptr<ScriptedUpstream> m_secondFar; // registered if it is there
  base::Millis m_callerReadDelay{
    0
  }; // from sending to the first read of a caller
  std::unique_ptr<Entry> m_entry;
};

struct RunningEntry : EntryFixture
{
  RunningEntry()
  {
    Start();
    Configure();
  }
};

inline std::string
MakeRequest(const std::string& aRoute, const std::string& aMore = "")
{
  return "GET /" + aRoute + "/x HTTP/1.1\r\nHost: desk.example\r\nId: r1\r\n" +
         aMore + "Connection: close\r\n\r\n";
}

inline const std::string kGoodResponse =
  "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\ngood";
inline const std::string kStreamHead =
  "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 90\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

inline std::string
Chunk(const std::string& aText)
{
  constexpr char kHex[] = "0123456789abcdef";
  const size_t size = aText.size();
  return std::string(1, kHex[size >> 4]) + kHex[size & 15] + "\r\n" + aText +
         "\r\n";
}

inline bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace chivefront::proxy::testing
