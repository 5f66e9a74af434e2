// Test of the ports that tests reserve for their servers.
#define BOOST_TEST_MODULE reserved_port
#include <boost/test/unit_test.hpp>

#include <list>
#include <set>

#include "chivefront/net/http_server.h"
#include "chivefront/net/testing/reserved_port.h"

using namespace chivefront;

// Guards against a test whose server can't listen because the port that it
// chose was given to another server in the meantime: a port that was free when
// it was chosen, and closed again, can be handed out twice.
BOOST_AUTO_TEST_CASE(ReservedPortsAreDistinctAndUsable)
{
  constexpr size_t kPorts = 500;
  std::list<net::testing::ReservedPort> reserved;
  std::set<uint16_t> distinct;
  for (size_t i = 0; i < kPorts; ++i) {
    distinct.insert(reserved.emplace_back().Port());
  }
  BOOST_TEST(distinct.size() == kPorts);
  boost::asio::io_context context;
  for (int restart = 0; restart < 2; ++restart) {
    net::HttpServer server(
      context, {}, [](net::HttpExchange&) -> net::Task<void> { co_return; });
    BOOST_TEST(server.Listen(reserved.front().Address()).ok());
  }
}
