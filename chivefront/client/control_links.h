// Links from a process to all control processes, and calls over them.
//
//   client::ControlLinks control(context, identity, endpoints);
//   control.Start();
//   auto reply = co_await control.CallAny(wire::MakeMessage(...), timeout);
//   auto reply = co_await control.CallLeader(wire::MakeMessage(...), deadline);
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

  // One call to the preferred control process; after a failure the next one
  // becomes preferred. Timeout or LinkClosed as in net::Link::Call.
  net::Task<absl::StatusOr<wire::MessageT>> CallAny(wire::MessageT aMessage,
                                                    base::Millis aTimeout);

  // Calls control processes in turn until aAccept returns true for a reply
  // (it refuses replies of processes that do not lead) or aDeadline passes.
  // The message may have been acted on several times, so it must be
  // idempotent. Unavailable when no reply was accepted in time.
  using ReplyPredicate = std::function<bool(const wire::MessageT&)>;
  net::Task<absl::StatusOr<wire::MessageT>> CallUntil(wire::MessageT aMessage,
                                                      base::Millis aTimeout,
                                                      base::TimePoint aDeadline,
                                                      ReplyPredicate aAccept);

  // Sends a one-way message to every control process with an open link.
  void Broadcast(const wire::MessageT& aMessage);

  size_t Connected() const;

  // Leaves the preferred control process for the next one, e.g. because it
  // answers but is cut off from the others.
  void PreferNext();

private:
  net::Link::Pointer Preferred();

  std::vector<std::shared_ptr<net::LinkConnector>> m_connectors;
  std::atomic<size_t> m_preferred{ 0 };
};

} // namespace chivefront::client
