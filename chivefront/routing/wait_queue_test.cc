// Order of the requests that wait.
#define BOOST_TEST_MODULE routing_wait_queue
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/wait_queue.h"

using namespace chivefront::routing;

// Guards against permits that less urgent or younger requests take from those
// that wait.
BOOST_AUTO_TEST_CASE(MostUrgentAndOldestComeFirst)
{
  WaitQueue queue;
  const WaitTicket free = queue.Enter(5);
  const WaitTicket paying = queue.Enter(0);
  const WaitTicket younger = queue.Enter(0);
  BOOST_TEST(queue.IsAmongFirst(paying, 1));
  BOOST_TEST(!queue.IsAmongFirst(younger, 1));
  BOOST_TEST(queue.IsAmongFirst(younger, 2));
  BOOST_TEST(!queue.IsAmongFirst(free, 2));
  BOOST_TEST(!queue.IsAmongFirst(queue.Next(0), 2));
  queue.Leave(paying);
  BOOST_TEST(queue.IsAmongFirst(free, 2));
  BOOST_TEST(!queue.IsAmongFirst(free, 0));
}
