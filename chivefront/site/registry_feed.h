// How a control process tells an entry of upstreams with the answers to its
// polls, and how the entry takes that in.
//
//   site::AnswerRegistry(registry, epoch, request, now, reply); // control
//
//   site::RegistryFeed feed(log);                               // entry
//   feed.Ask(request);
//   feed.Accept(reply, polledAt, now, registry);
//
// An answer holds what changed since the last one. Between processes of this
// release it omits renewals, see routing/registry.h. Sequence numbers of
// different processes, and of different incarnations of one, are not
// comparable; an epoch tells them apart, and another epoch begins with all
// records.
#pragma once

#include "chivefront/base/decision_log.h"
#include "chivefront/routing/registry.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Fills in the part of an answer that tells of upstreams. aEpoch is that of
// aRegistry.
void
AnswerRegistry(routing::Registry& aRegistry,
               uint64_t aEpoch,
               const wire::WatchRequestT& aRequest,
               base::TimePoint aNow,
               wire::WatchReplyT& aReply);

// The entry's side. Not thread-safe.
class RegistryFeed
{
public:
  explicit RegistryFeed(base::DecisionLog& aLog)
    : m_log(aLog)
  {
  }

  // States in a poll what is known.
  void Ask(wire::WatchRequestT& aRequest) const;
  // Takes in the answer to the poll that was sent at aPolledAt.
  void Accept(const wire::WatchReplyT& aReply,
              base::TimePoint aPolledAt,
              base::TimePoint aNow,
              routing::Registry& aRegistry);

private:
  base::DecisionLog& m_log;
  uint64_t m_epoch = 0;
  uint64_t m_sequence = 0; // 0: asks for all records
  uint64_t m_floor = 0;    // see routing::RegistryPosition
  // The polled process has named no record that it knows less well; else it is
  // asked for all again.
  bool m_inStep = true;
};

} // namespace chivefront::site
