// The requests of one service that wait for permission to be sent, the most
// urgent first and of those the oldest. Not thread-safe.
//
//   WaitQueue queue;
//   const WaitTicket ticket = queue.Enter(priority);
//   if (queue.IsAmongFirst(ticket, permits)) ...
//   queue.Leave(ticket);
#pragma once

#include <compare>
#include <cstdint>
#include <set>

namespace chivefront::routing {

struct WaitTicket
{
  int m_priority = 0;    // 0 is the most urgent
  uint64_t m_number = 0; // increases with each ticket

  auto operator<=>(const WaitTicket&) const = default;
};

class WaitQueue
{
public:
  WaitTicket Enter(int aPriority)
  {
    const WaitTicket ticket = Next(aPriority);
    m_waiting.insert(ticket);
    ++m_lastNumber;
    return ticket;
  }
  void Leave(const WaitTicket& aTicket) { m_waiting.erase(aTicket); }

  // The place of a request that has not entered.
  WaitTicket Next(int aPriority) const
  {
    return { aPriority, m_lastNumber + 1 };
  }

  // How many requests wait before aTicket, at most aMost.
  size_t CountBefore(const WaitTicket& aTicket, size_t aMost) const
  {
    size_t before = 0;
    for (const WaitTicket& other : m_waiting) {
      if (before >= aMost || !(other < aTicket)) {
        break;
      }
      ++before;
    }
    return before;
  }

  // Whether fewer than aCount requests wait before aTicket.
  bool IsAmongFirst(const WaitTicket& aTicket, size_t aCount) const
  {
    return CountBefore(aTicket, aCount) < aCount;
  }

private:
  std::set<WaitTicket> m_waiting;
  uint64_t m_lastNumber = 0;
};

} // namespace chivefront::routing
