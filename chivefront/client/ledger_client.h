// Client of the replicated ledger, which stores session pins, claims, bills and
// suspects.
//
// Every command is idempotent and is retried until a majority has confirmed it
// or the deadline has passed. Unavailable: the command may have been applied.
// Overloaded: the ledger is full and has certainly not granted the claim or
// pin. A bill or result that does not fit returns Unavailable; the state of its
// claim is Unknown from then on.
#pragma once

#include "chivefront/client/control_links.h"

namespace chivefront::client {

class LedgerClient
{
public:
  explicit LedgerClient(ControlLinks& aControl)
    : m_control(aControl)
  {
  }

  // aShardKey selects the ledger group of the command: team and session, team
  // and key, or the request id.
  template<typename CommandT>
  net::Task<absl::StatusOr<wire::LedgerReplyT>> Run(std::string aShardKey,
                                                    CommandT aCommand,
                                                    base::TimePoint aDeadline)
  {
    wire::LedgerRequestT request;
    request.shard_key = std::move(aShardKey);
    request.command.Set(std::move(aCommand));
    return Submit(std::move(request), aDeadline);
  }

private:
  net::Task<absl::StatusOr<wire::LedgerReplyT>> Submit(
    wire::LedgerRequestT aRequest,
    base::TimePoint aDeadline);

  ControlLinks& m_control;
};

} // namespace chivefront::client
