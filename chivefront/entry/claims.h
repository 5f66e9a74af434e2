// Claims of non-idempotent calls by (team, Idempotency-Key).
#pragma once

#include <variant>

#include "chivefront/entry/runner.h"
#include "chivefront/net/http.h"

namespace chivefront::entry {

// The claim is held: run the call, then finish the claim.
struct ClaimGranted
{};
using ClaimOutcome = std::variant<ClaimGranted, net::HttpResponse, CallerError>;

// What the ledger's reply means for this caller: run it, answer with the
// stored response, or refuse. Pure.
ClaimOutcome
InterpretClaim(const wire::LedgerReplyT& aReply);

// How a claim is finished after its call ended. Pure. Only a call that
// certainly did not run gives its claim back.
wire::ClaimState
ClaimStateAfter(const RunResult& aResult);

class Claims
{
public:
  explicit Claims(EntryComponents& aComponents);

  // aOwner is unique to this caller request, so that the ledger can tell a
  // repeated command from a second sender of the same key.
  net::Task<ClaimOutcome> Acquire(const RunSpec& aSpec,
                                  const std::string& aOwner,
                                  uint64_t aBodyHash,
                                  base::Millis aRetention);

  // Commits the result; OK once a majority holds it.
  net::Task<absl::Status> Finish(const RunSpec& aSpec,
                                 const std::string& aOwner,
                                 wire::ClaimState aState,
                                 const net::HttpResponse& aResponse);

private:
  EntryComponents& m_components;
};

} // namespace chivefront::entry
