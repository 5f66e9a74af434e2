// A connection to an upstream that does not read.
#define BOOST_TEST_MODULE upstream_connection
#include <boost/test/unit_test.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/proxy/upstream_connection.h"

using namespace chivefront;
using Tcp = net::asio::ip::tcp;

namespace {

constexpr size_t kLargeRequestBytes = 16 * 1024 * 1024;
constexpr auto kTestTimeout = std::chrono::seconds(10);

// An upstream that accepts one connection and does not read until asked.
struct UnreadRequestFixture
{
  UnreadRequestFixture()
    : m_acceptor(m_context, Tcp::endpoint(Tcp::v4(), 0))
    , m_peer(m_context)
    , m_connection(m_context.get_executor())
  {
    m_acceptor.async_accept(m_peer, [](const auto&) {});
  }

  // Sends aBytes, gives the request up after a while, and returns how the
  // upstream's read of all bytes ends.
  boost::system::error_code ReadAfterClose(size_t aBytes)
  {
    const base::Endpoint address{ "127.0.0.1",
                                  m_acceptor.local_endpoint().port() };
    const auto request = std::make_shared<const std::string>(aBytes, 'x');
    net::Spawn(
      m_context.get_executor(), "test", [&, request]() -> net::Task<void> {
        BOOST_TEST(
          (co_await m_connection.Connect(address, base::Millis(1000))).ok());
        BOOST_TEST(!(co_await m_connection.SendRequest(request)).ok());
      });
    m_context.run_for(std::chrono::milliseconds(200));
    m_connection.Close();
    m_context.restart();
    std::string received(aBytes + 1, ' ');
    boost::system::error_code end;
    net::asio::async_read(m_peer,
                          net::asio::buffer(received),
                          [&](const auto& aError, size_t) { end = aError; });
    m_context.run_for(kTestTimeout);
    return end;
  }

  net::asio::io_context m_context{ 1 };
  Tcp::acceptor m_acceptor;
  Tcp::socket m_peer;
  proxy::UpstreamConnection m_connection;
};

} // namespace

// Guards against a request that reaches its upstream after it was given up: its
// bytes waited in the connection, and an orderly close delivered them when the
// upstream had already left.
BOOST_FIXTURE_TEST_CASE(AbandonedRequestIsNotDeliveredLater,
                        UnreadRequestFixture)
{
  BOOST_TEST(ReadAfterClose(kLargeRequestBytes) ==
             net::asio::error::connection_reset);
}

// A request that has arrived is ended in an orderly way: the upstream sees the
// end of the connection and stops working.
BOOST_FIXTURE_TEST_CASE(AcknowledgedRequestEndsInOrder, UnreadRequestFixture)
{
  BOOST_TEST(ReadAfterClose(1000) == net::asio::error::eof);
}

namespace {

// An upstream that answers while the request is still being written.
struct EarlyAnswerFixture : UnreadRequestFixture
{
  struct Result
  {
    absl::Status m_head;
    std::string m_body;
    absl::Status m_end; // of the body
  };

  // Sends a long request. The upstream writes aAnswer at once and then closes
  // the connection, which resets it, as most of the request is unread.
  Result Call(const std::string& aAnswer)
  {
    const base::Endpoint address{ "127.0.0.1",
                                  m_acceptor.local_endpoint().port() };
    const auto request =
      std::make_shared<const std::string>(kLargeRequestBytes, 'x');
    Result result;
    bool done = false;
    net::Spawn(
      m_context.get_executor(), "test", [&, request]() -> net::Task<void> {
        BOOST_TEST(
          (co_await m_connection.Connect(address, base::Millis(1000))).ok());
        result.m_head = co_await m_connection.SendRequest(request);
        while (result.m_head.ok()) {
          const auto piece = co_await m_connection.ReadBody();
          result.m_end = piece.status();
          if (!piece.ok() || piece->empty()) {
            break;
          }
          result.m_body += *piece;
        }
        done = true;
      });
    m_context.run_for(std::chrono::milliseconds(200));
    net::asio::write(m_peer, net::asio::buffer(aAnswer));
    m_peer.close();
    m_context.restart();
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (!done && std::chrono::steady_clock::now() < until) {
      m_context.run_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(done);
    return result;
  }
};

} // namespace

// Guards against a part of an answer that is taken for the whole: the write of
// the request reported the reset, so the read saw an orderly end, which ends an
// answer without a length.
BOOST_FIXTURE_TEST_CASE(UnframedAnswerBeforeAResetIsIncomplete,
                        EarlyAnswerFixture)
{
  const Result result = Call("HTTP/1.1 200 OK\r\n\r\npart");
  BOOST_TEST((!result.m_head.ok() || !result.m_end.ok()));
}

BOOST_FIXTURE_TEST_CASE(FramedAnswerBeforeAResetIsIncomplete,
                        EarlyAnswerFixture)
{
  const Result result =
    Call("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
  BOOST_TEST((!result.m_head.ok() || !result.m_end.ok()));
}

BOOST_FIXTURE_TEST_CASE(ChunkedAnswerBeforeAResetIsIncomplete,
                        EarlyAnswerFixture)
{
  const Result result =
    Call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  BOOST_TEST((!result.m_head.ok() || !result.m_end.ok()));
}

// An answer whose length is known may arrive before the request has been read.
BOOST_FIXTURE_TEST_CASE(WholeAnswerBeforeAResetIsKept, EarlyAnswerFixture)
{
  const Result result =
    Call("HTTP/1.1 413 Large\r\nContent-Length: 4\r\n\r\nfull");
  if (result.m_head.ok() && result.m_end.ok()) {
    BOOST_TEST(result.m_body == "full");
  }
}

// Guards against an upstream in trouble whose answer has no status of HTTP:
// the caller got it as an answer, or it was skipped like an interim one.
BOOST_AUTO_TEST_CASE(AnswersWithoutAStatusAreRefused)
{
  for (const char* status : { "000", "099", "600", "999", "2x0", "20" }) {
    EarlyAnswerFixture fixture;
    const EarlyAnswerFixture::Result result =
      fixture.Call("HTTP/1.1 " + std::string(status) +
                   " X\r\nContent-Length: 0\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(!result.m_head.ok(), "status " << status);
  }
}

// An interim answer alone is no answer.
BOOST_FIXTURE_TEST_CASE(InterimAnswerAloneIsNone, EarlyAnswerFixture)
{
  BOOST_TEST(!Call("HTTP/1.1 103 Early Hints\r\n\r\n").m_head.ok());
}
