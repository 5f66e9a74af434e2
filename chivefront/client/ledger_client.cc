// Ledger calls.
#include "chivefront/client/ledger_client.h"

namespace chivefront::client {
namespace detail {

// Longer than an ordinary commit, shorter than an election, so that a lost
// leader is left early.
constexpr base::Millis kAttemptTimeout{ 400 };

bool
IsConfirmed(const wire::MessageT& aMessage)
{
  const wire::LedgerReplyT* reply = aMessage.body.AsLedgerReply();
  return reply != nullptr && reply->ok;
}

} // namespace detail

net::Task<absl::StatusOr<wire::LedgerReplyT>>
LedgerClient::Submit(wire::LedgerRequestT aRequest, base::TimePoint aDeadline)
{
  auto reply =
    co_await m_control.CallUntil(wire::MakeMessage(std::move(aRequest)),
                                 detail::kAttemptTimeout,
                                 aDeadline,
                                 detail::IsConfirmed);
  if (!reply.ok()) {
    co_return reply.status();
  }
  co_return std::move(*reply->body.AsLedgerReply());
}

} // namespace chivefront::client
