// A connection to an upstream that does not read.
#define BOOST_TEST_MODULE upstream_connection
#include <boost/test/unit_test.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>

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
