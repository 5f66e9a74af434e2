// Claims of non-idempotent service calls. A claim in the ledger, keyed by team
// and Idempotency-Key, makes sure that a call runs at most once.
#pragma once

#include <variant>

#include "chivefront/entry/runner.h"
#include "chivefront/net/http.h"

namespace chivefront::entry {

// The claim is held: the caller runs the call and then finishes the claim.
struct ClaimGranted
{};
using ClaimOutcome = std::variant<ClaimGranted, net::HttpResponse, CallerError>;

// Translates the ledger's reply: run the call, answer with the stored response,
// or refuse with an error. Pure.
ClaimOutcome
InterpretClaim(const wire::LedgerReplyT& aReply);

// The state in which a claim is finished after its call ended. Only a call that
// certainly did not run releases its claim. Pure.
wire::ClaimState
ClaimStateAfter(const RunResult& aResult);

class Claims
{
public:
  explicit Claims(EntryComponents& aComponents);

  // Commits a claim for the call. aOwner is unique to this caller request, so
  // that the ledger can distinguish a repeated command from another request
  // with the same key. aRetention is how long the ledger keeps the claim.
  net::Task<ClaimOutcome> Acquire(const RunSpec& aSpec,
                                  const std::string& aOwner,
                                  uint64_t aBodyHash,
                                  base::Millis aRetention);

  // Commits the result of the call. OK once a majority of the ledger's replicas
  // holds it.
  net::Task<absl::Status> Finish(const RunSpec& aSpec,
                                 const std::string& aOwner,
                                 wire::ClaimState aState,
                                 const net::HttpResponse& aResponse);

private:
  EntryComponents& m_components;
};

} // namespace chivefront::entry
