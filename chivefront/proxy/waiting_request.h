// The place of one request among those that wait for an upstream with a request
// limit. It leaves the queue when it goes out of scope.
#pragma once

#include <optional>

#include "chivefront/base/clock.h"
#include "chivefront/routing/wait_queue.h"

namespace chivefront::proxy {
namespace detail {

// Far more than any caller waits for.
constexpr size_t kMaxCountedBefore = 1000;
constexpr double kMillisPerSecond = 1000;

} // namespace detail

class WaitingRequest
{
public:
  WaitingRequest(routing::WaitQueue& aQueue, int aPriority)
    : m_queue(aQueue)
    , m_priority(aPriority)
  {
  }
  ~WaitingRequest()
  {
    if (m_entered) {
      m_queue.Leave(*m_entered);
    }
  }
  WaitingRequest(const WaitingRequest&) = delete;
  WaitingRequest& operator=(const WaitingRequest&) = delete;

  void Enter()
  {
    if (!m_entered) {
      m_entered = m_queue.Enter(m_priority);
    }
  }

  routing::WaitTicket Ticket() const
  {
    return m_entered.value_or(m_queue.Next(m_priority));
  }

  // How long it takes until this request's turn if aRate requests per second
  // are sent; zero if aRate is 0.
  base::Millis ExpectedWait(double aRate) const
  {
    if (aRate <= 0) {
      return base::Millis(0);
    }
    const size_t before =
      m_queue.CountBefore(Ticket(), detail::kMaxCountedBefore);
    return base::Millis(static_cast<int64_t>(static_cast<double>(before) *
                                             detail::kMillisPerSecond / aRate));
  }

private:
  routing::WaitQueue& m_queue;
  const int m_priority;
  std::optional<routing::WaitTicket> m_entered;
};

} // namespace chivefront::proxy
