// Commands to the replicated ledger: session pins, claims, bills, suspects.
//
// Every command is idempotent and is repeated until a majority confirmed it or
// the deadline passed. Unavailable leaves open whether it was applied.
// Overloaded: a full ledger certainly did not grant the claim or pin. A bill or
// result that did not fit is Unavailable; its claim is Unknown from then on.
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

  // aShardKey decides which ledger group owns the command: the team and
  // session, the team and key, or the request id.
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
