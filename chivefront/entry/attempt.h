// One attempt under way; internal to the runner.
#pragma once

#include "chivefront/entry/runner.h"

namespace chivefront::entry {
namespace detail {

// Events that carry no answer data, such as Started, need room as well.
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
  base::TimePoint m_waitDeadline; // the wait for the next event ends here
  bool m_sent = false;
  bool m_streaming = false; // the answer has begun and its link is open
  bool m_resumed = false;
  bool m_resumePending = false; // and no chunk accepted since
  // Set by Rejected and End.
  CallerError m_agentError;
  bool m_permanentRejection = false;
};

} // namespace chivefront::entry
