// Tests of the request queue: classes, fairness between teams, deadlines.
#define BOOST_TEST_MODULE class_queue
#include <boost/test/unit_test.hpp>

#include "chivefront/policy/class_queue.h"

using namespace chivefront;
using catalog::CallerClass;
using policy::ClassQueue;
using policy::QueueItem;

namespace {

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

QueueItem
Item(uint64_t aId,
     const std::string& aTeam,
     CallerClass aClass = CallerClass::Paying,
     int64_t aDeadline = 1000000)
{
  return { aId, aClass, aTeam, 1, At(aDeadline) };
}

} // namespace

// Guards against a free request that leaves before a paying one.
BOOST_AUTO_TEST_CASE(PayingLeavesFirst)
{
  ClassQueue queue(10);
  queue.Push(Item(1, "guest", CallerClass::Free), At(0));
  queue.Push(Item(2, "sales"), At(1));
  BOOST_TEST(queue.Pop(At(2))->m_id == 2U);
  BOOST_TEST(queue.Pop(At(2))->m_id == 1U);
  BOOST_TEST(!queue.Pop(At(2)).has_value());
}

// Guards against a large team that delays the single request of a small one.
BOOST_AUTO_TEST_CASE(SmallTeamIsNotStarvedByALargeOne)
{
  ClassQueue queue(1000);
  uint64_t id = 0;
  for (int i = 0; i < 500; ++i) {
    queue.Push(Item(++id, "large"), At(0));
  }
  for (int i = 0; i < 100; ++i) {
    queue.Pop(At(i));
  }
  for (int i = 0; i < 3; ++i) {
    queue.Push(Item(1000 + i, "small"), At(100));
  }
  int last = 0;
  for (int turn = 1; turn <= 10; ++turn) {
    if (queue.Pop(At(100 + turn))->m_team == "small") {
      last = turn;
    }
  }
  BOOST_TEST(last > 0);
  BOOST_TEST(last <= 6);
}

// Guards against expired items that count as service of their team, which would
// delay its later items.
BOOST_AUTO_TEST_CASE(ExpiredItemsAreNotCharged)
{
  ClassQueue queue(1000);
  for (uint64_t id = 1; id <= 100; ++id) {
    queue.Push(Item(id, "large", CallerClass::Paying, 10), At(0));
  }
  queue.Push(Item(200, "small"), At(0));
  queue.Push(Item(201, "small"), At(0));
  queue.Push(Item(202, "small"), At(0));
  BOOST_TEST(queue.TakeExpired(At(11)).size() == 100U);
  queue.Push(Item(300, "large"), At(11));
  queue.Pop(At(11));
  BOOST_TEST(queue.Pop(At(12))->m_team == "large");
}

// Guards against items that start after their deadline, and against items that
// are queued although they will miss it.
BOOST_AUTO_TEST_CASE(ItemsThatMissTheirDeadlineDoNotStart)
{
  ClassQueue queue(100);
  for (uint64_t id = 1; id <= 20; ++id) {
    queue.Push(Item(id, "a"), At(0));
  }
  for (int i = 0; i < 10; ++i) {
    queue.Pop(At(i * 100)); // one departure every 100 ms
  }
  const auto late =
    queue.Push(Item(50, "a", CallerClass::Paying, 1200), At(900));
  BOOST_TEST(!late.m_queued);
  BOOST_TEST(late.m_retryAfter.Count() >= 900);
  const auto early =
    queue.Push(Item(51, "b", CallerClass::Paying, 1200), At(900));
  BOOST_TEST(early.m_queued);
  for (int i = 0; i < 20; ++i) {
    const auto item = queue.Pop(At(1201));
    BOOST_TEST((!item || item->m_id != 51U));
  }
}

// Guards against a full queue that refuses paying items while it holds free
// ones, or items of a small team while it holds many of a large team.
BOOST_AUTO_TEST_CASE(FullQueueDisplacesTheRightItem)
{
  ClassQueue queue(4);
  queue.Push(Item(1, "large"), At(0));
  queue.Push(Item(2, "large"), At(0));
  queue.Push(Item(3, "large"), At(0));
  queue.Push(Item(4, "guest", CallerClass::Free), At(0));
  auto pushed = queue.Push(Item(5, "large"), At(0));
  BOOST_TEST(pushed.m_queued);
  BOOST_TEST(pushed.m_displaced == std::vector<uint64_t>{ 4 });
  pushed = queue.Push(Item(6, "small"), At(0));
  BOOST_TEST(pushed.m_queued);
  BOOST_TEST(pushed.m_displaced == std::vector<uint64_t>{ 5 });
  BOOST_TEST(!queue.Push(Item(7, "large"), At(0)).m_queued);
  BOOST_TEST(!queue.Push(Item(8, "x", CallerClass::Free), At(0)).m_queued);
  BOOST_TEST(queue.Size() == 4U);
}
