// Tests of links, the HTTP server and the HTTP client over loopback.
#define BOOST_TEST_MODULE net
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/net/http_client.h"
#include "chivefront/net/http_server.h"
#include "chivefront/net/link.h"
#include "chivefront/net/runtime.h"
#include "chivefront/net/testing/reserved_port.h"

using namespace chivefront;
namespace asio = boost::asio;

namespace {

const base::Endpoint kAnyPort{ "127.0.0.1", 0 };

// Runs an event loop on two threads during a test.
class EventLoop
{
public:
  EventLoop()
    : m_guard(asio::make_work_guard(m_context))
  {
    for (int i = 0; i < 2; ++i) {
      m_threads.emplace_back([this] { m_context.run(); });
    }
  }
  ~EventLoop()
  {
    m_context.stop();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  asio::io_context& Context() { return m_context; }

  template<typename T>
  T Await(std::function<net::Task<T>()> aBody)
  {
    std::promise<T> promise;
    net::Spawn(m_context.get_executor(), "test", [&]() -> net::Task<void> {
      promise.set_value(co_await aBody());
    });
    return promise.get_future().get();
  }

private:
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  std::vector<std::thread> m_threads;
};

net::LinkIdentity
Identity(const std::string& aProcess, const std::string& aSecret)
{
  net::LinkIdentity identity;
  identity.m_cluster = "test";
  identity.m_process = aProcess;
  identity.m_secret = aSecret;
  return identity;
}

net::Link::Handlers
StatusReplyHandlers()
{
  net::Link::Handlers handlers;
  handlers.m_onOpen = [](const net::Link::Pointer&) {};
  handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
  handlers.m_onMessage = [](const net::Link::Pointer& aLink,
                            wire::MessageT aMessage) {
    if (aMessage.body.type == wire::Body::StatusRequest) {
      wire::StatusReplyT reply;
      reply.json = "{}";
      (void)aLink->Reply(aMessage.correlation, std::move(reply));
    }
  };
  return handlers;
}

net::Link::Pointer
WaitForLink(const net::LinkConnector& aConnector)
{
  for (int i = 0; i < 300; ++i) {
    if (auto link = aConnector.Current()) {
      return link;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return nullptr;
}

} // namespace

// Guards against a reply that does not reach the call that it belongs to.
BOOST_AUTO_TEST_CASE(CallGetsItsReply)
{
  const auto server = Identity("server", "secret");
  const auto client = Identity("client", "secret");
  EventLoop loop;
  net::LinkServer listener(loop.Context(), server, StatusReplyHandlers());
  BOOST_REQUIRE(listener.Listen(kAnyPort).ok());
  const auto connector = std::make_shared<net::LinkConnector>(
    loop.Context(), client, listener.BoundEndpoint(), StatusReplyHandlers());
  connector->Start();
  const auto link = WaitForLink(*connector);
  BOOST_REQUIRE(link);
  BOOST_TEST(link->Peer().m_process == "server");
  const auto ok = loop.Await<bool>([&]() -> net::Task<bool> {
    const auto reply = co_await link->Call(
      wire::MakeMessage(wire::StatusRequestT{}), base::Millis(5000));
    co_return reply.ok() && reply->body.AsStatusReply() != nullptr;
  });
  BOOST_TEST(ok);
  connector->Stop();
}

// Guards against a process that reaches the handlers without knowing the
// cluster secret.
BOOST_AUTO_TEST_CASE(WrongSecretNeverOpens)
{
  const auto server = Identity("server", "secret");
  const auto client = Identity("client", "other");
  EventLoop loop;
  std::atomic<int> opened{ 0 };
  auto handlers = StatusReplyHandlers();
  handlers.m_onOpen = [&](const net::Link::Pointer&) { ++opened; };
  net::LinkServer listener(loop.Context(), server, handlers);
  BOOST_REQUIRE(listener.Listen(kAnyPort).ok());
  const auto connector = std::make_shared<net::LinkConnector>(
    loop.Context(), client, listener.BoundEndpoint(), StatusReplyHandlers());
  connector->Start();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(connector->Current() == nullptr);
  BOOST_TEST(opened == 0);
  connector->Stop();
}

// Guards against a malformed frame that closes other links than the one on
// which it arrived.
BOOST_AUTO_TEST_CASE(BadFrameClosesOnlyItsConnection)
{
  const auto server = Identity("server", "secret");
  const auto client = Identity("client", "secret");
  EventLoop loop;
  net::LinkServer listener(loop.Context(), server, StatusReplyHandlers());
  BOOST_REQUIRE(listener.Listen(kAnyPort).ok());
  const auto connector = std::make_shared<net::LinkConnector>(
    loop.Context(), client, listener.BoundEndpoint(), StatusReplyHandlers());
  connector->Start();
  const auto link = WaitForLink(*connector);
  BOOST_REQUIRE(link);

  asio::io_context raw;
  asio::ip::tcp::socket socket(raw);
  socket.connect(
    { asio::ip::make_address("127.0.0.1"), listener.BoundEndpoint().m_port });
  asio::write(socket, asio::buffer(std::string(64, 'z')));
  std::string sink;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(sink), error);
  BOOST_TEST(error.failed()); // the server closed it
  BOOST_TEST(link->IsOpen());
  connector->Stop();
}

// Guards against a link that stays open although its connection no longer
// carries data.
BOOST_AUTO_TEST_CASE(SilentLinkIsClosed)
{
  const auto client = Identity("client", "secret");
  const auto server = Identity("server", "secret");
  EventLoop loop;
  net::LinkLimits longTimeouts;
  longTimeouts.m_heartbeatInterval = base::Millis(100000); // sends no pings
  longTimeouts.m_silenceTimeout = base::Millis(100000);
  net::LinkLimits shortTimeouts;
  shortTimeouts.m_heartbeatInterval = base::Millis(50);
  shortTimeouts.m_silenceTimeout = base::Millis(200);
  std::promise<base::ErrorKind> closed;
  auto handlers = StatusReplyHandlers();
  handlers.m_onClose = [&, once = false](const net::Link::Pointer&,
                                         const absl::Status& aWhy) mutable {
    if (!once) {
      once = true;
      closed.set_value(base::KindOf(aWhy));
    }
  };
  // The event loop of the peer stops after the handshake, as in a process that
  // hangs.
  auto frozen = std::make_unique<EventLoop>();
  auto listener = std::make_unique<net::LinkServer>(
    frozen->Context(), server, StatusReplyHandlers(), longTimeouts);
  BOOST_REQUIRE(listener->Listen(kAnyPort).ok());
  const auto connector = std::make_shared<net::LinkConnector>(
    loop.Context(), client, listener->BoundEndpoint(), handlers, shortTimeouts);
  connector->Start();
  BOOST_REQUIRE(WaitForLink(*connector));
  frozen->Context().stop();
  BOOST_TEST((closed.get_future().get() == base::ErrorKind::Timeout));
  connector->Stop();
}

// Guards against a request that reaches the handler although its body exceeds
// the limit.
BOOST_AUTO_TEST_CASE(HttpBoundsAreEnforced)
{
  EventLoop loop;
  net::HttpLimits limits;
  limits.m_bodyBytes = 100;
  std::atomic<int> handled{ 0 };
  net::HttpServer server(
    loop.Context(), limits, [&](net::HttpExchange& aExchange) {
      ++handled;
      return [](net::HttpExchange& aInner) -> net::Task<void> {
        (void)co_await aInner.BeginStream(200, "text/plain", {});
        (void)co_await aInner.Write("one ");
        (void)co_await aInner.Write("two");
        (void)co_await aInner.EndStream();
      }(aExchange);
    });
  BOOST_REQUIRE(server.Listen(kAnyPort).ok());
  const auto call = [&](std::string aBody) {
    return loop.Await<absl::StatusOr<net::HttpResponse>>(
      [&]() -> net::Task<absl::StatusOr<net::HttpResponse>> {
        net::HttpRequest request;
        request.m_method = "POST";
        request.m_body = aBody;
        co_return co_await net::HttpCall(server.BoundEndpoint(), request, {});
      });
  };
  const auto good = call("hello");
  BOOST_REQUIRE(good.ok());
  BOOST_TEST(good->m_body == "one two");
  const auto large = call(std::string(101, 'x'));
  BOOST_REQUIRE(large.ok());
  BOOST_TEST(large->m_status == 413);
  BOOST_TEST(handled == 1);
}

// Guards against a truncated response that is taken for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedStreamIsAnError)
{
  EventLoop loop;
  net::HttpServer server(
    loop.Context(), {}, [](net::HttpExchange& aExchange) -> net::Task<void> {
      (void)co_await aExchange.BeginStream(200, "text/plain", {});
      (void)co_await aExchange.Write("partial");
    });
  BOOST_REQUIRE(server.Listen(kAnyPort).ok());
  const auto result = loop.Await<absl::StatusOr<net::HttpResponse>>(
    [&]() -> net::Task<absl::StatusOr<net::HttpResponse>> {
      co_return co_await net::HttpCall(server.BoundEndpoint(), {}, {});
    });
  BOOST_TEST(
    (base::KindOf(result.status()) == base::ErrorKind::AnswerIncomplete));
}

// Guards against a refused connection that is not reported as NoUpstream, the
// error kind which says that no byte was sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotRun)
{
  EventLoop loop;
  const net::testing::ReservedPort closed;
  const auto result = loop.Await<absl::StatusOr<net::HttpResponse>>(
    [&]() -> net::Task<absl::StatusOr<net::HttpResponse>> {
      co_return co_await net::HttpCall(closed.Address(), {}, {});
    });
  BOOST_TEST((base::KindOf(result.status()) == base::ErrorKind::NoUpstream));
}
