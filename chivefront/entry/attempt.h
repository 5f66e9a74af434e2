// State of the current attempt of a run; internal to the runner.
#pragma once

#include "chivefront/entry/runner.h"

namespace chivefront::entry {
namespace detail {

// Room in the mailbox beyond the credit window, because an agent may exceed
// its credit by kCreditSlackBytes and events other than chunks arrive too.
constexpr size_t kMailboxSlack = 2 * kCreditSlackBytes;

} // namespace detail

struct Runner::Attempt
{
  Attempt(const RunSpec& aSpec,
          uint32_t aNumber,
          const net::asio::any_io_executor& aExecutor,
          size_t aWindow)
    : m_spec(aSpec)
    , m_number(aNumber)
    , m_mailbox(
        std::make_shared<Mailbox>(aExecutor, aWindow + detail::kMailboxSlack))
    , m_assembler(aNumber, aWindow)
  {
  }

  const RunSpec& m_spec;
  const uint32_t m_number;
  const std::shared_ptr<Mailbox> m_mailbox;
  StreamAssembler m_assembler;
  net::Link::Pointer m_link; // null while the link is cut
  uint64_t m_incarnation = 0;
  std::string m_upstream;
  std::string m_agentAddress;
  base::TimePoint m_sentAt;
  base::TimePoint m_waitDeadline; // of the wait for the next event
  bool m_sent = false;            // the link accepted the dispatch
  // Chunks are expected: the answer has begun, its link is open and its reader
  // takes data.
  bool m_streaming = false;
  bool m_resumed = false;       // a Resume was sent at least once
  bool m_resumePending = false; // no chunk was accepted since the last Resume
  // From the agent's Rejected or End message.
  CallerError m_agentError;
  bool m_permanentRejection = false; // another upstream would reject it too
};

} // namespace chivefront::entry
