// Sends commands to the ledger and maps refusals to errors.
#include "chivefront/client/ledger_client.h"

#include "chivefront/base/errors.h"

namespace chivefront::client {
namespace detail {

// Longer than a normal commit, shorter than an election, so that another
// process is tried soon after a leader fails.
constexpr base::Millis kAttemptTimeout{ 400 };

// A refused pin or claim precedes the dispatch, so nothing has run. A refused
// bill or result follows it and says nothing about the run.
base::ErrorKind
RefusalKind(wire::LedgerCommand aCommand)
{
  return aCommand == wire::LedgerCommand::PinSession ||
             aCommand == wire::LedgerCommand::ClaimRequest
           ? base::ErrorKind::Overloaded
           : base::ErrorKind::Unavailable;
}

bool
IsConfirmed(const wire::MessageT& aMessage)
{
  const wire::LedgerReplyT* reply = aMessage.body.AsLedgerReply();
  // A refusal ends the retries: repeating the command at once would not help.
  return reply != nullptr && (reply->ok || !reply->refused.empty());
}

} // namespace detail

net::Task<absl::StatusOr<wire::LedgerReplyT>>
LedgerClient::Submit(wire::LedgerRequestT aRequest, base::TimePoint aDeadline)
{
  const base::ErrorKind refusal = detail::RefusalKind(aRequest.command.type);
  auto reply =
    co_await m_control.CallUntil(wire::MakeMessage(std::move(aRequest)),
                                 detail::kAttemptTimeout,
                                 aDeadline,
                                 detail::IsConfirmed);
  if (!reply.ok()) {
    co_return reply.status();
  }
  wire::LedgerReplyT& answer = *reply->body.AsLedgerReply();
  if (!answer.refused.empty()) {
    co_return base::MakeError(refusal, "the ledger refused: " + answer.refused);
  }
  co_return std::move(answer);
}

} // namespace chivefront::client
