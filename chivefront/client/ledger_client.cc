// Ledger calls.
#include "chivefront/client/ledger_client.h"

#include "chivefront/base/errors.h"

namespace chivefront::client {
namespace detail {

// Longer than an ordinary commit, shorter than an election, so that a lost
// leader is left early.
constexpr base::Millis kAttemptTimeout{ 400 };

// Before a dispatch a refusal is certain that nothing ran; after it, a bill
// or result that could not be stored says nothing about the run.
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
  // A refusal is final for now; repeating the command at once does not help.
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
