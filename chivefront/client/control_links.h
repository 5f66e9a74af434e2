// Links from one process to all control processes, and calls over them with
// failover.
//
//   client::ControlLinks control(context, identity, endpoints);
//   control.Start();
//   auto reply = co_await control.CallAny(wire::MakeMessage(...), timeout);
//   auto reply =
//     co_await control.CallUntil(message, timeout, deadline, predicate);
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "chivefront/net/link.h"

namespace chivefront::client {

class ControlLinks
{
public:
  ControlLinks(net::asio::io_context& aContext,
               const net::LinkIdentity& aIdentity,
               std::vector<base::Endpoint> aControl);

  void Start();
  void Stop();

  // Calls the preferred control process. If the call fails, the next process
  // becomes preferred. Returns Timeout or LinkClosed as net::Link::Call.
  net::Task<absl::StatusOr<wire::MessageT>> CallAny(wire::MessageT aMessage,
                                                    base::Millis aTimeout);

  // Calls control processes in turn until aAccept returns true for a reply or
  // aDeadline passes. aAccept usually rejects replies of processes that are not
  // the leader. The message may be executed several times, so it must be
  // idempotent. Returns Unavailable if no reply was accepted in time.
  using ReplyPredicate = std::function<bool(const wire::MessageT&)>;
  net::Task<absl::StatusOr<wire::MessageT>> CallUntil(wire::MessageT aMessage,
                                                      base::Millis aTimeout,
                                                      base::TimePoint aDeadline,
                                                      ReplyPredicate aAccept);

  // Sends a one-way message to every control process with an open link.
  void Broadcast(const wire::MessageT& aMessage);

  size_t Connected() const;

  // Makes the next control process the preferred one, for example because the
  // current one responds but is partitioned from the others.
  void PreferNext();

private:
  net::Link::Pointer Preferred();

  std::vector<std::shared_ptr<net::LinkConnector>> m_connectors;
  std::atomic<size_t> m_preferred{ 0 };
};

} // namespace chivefront::client
