// Claims of non-idempotent requests: at most one owner runs a request.
//
// A claim is granted to one owner and ends as
//   Done      with the stored response, which every later sender receives;
//   Unknown   if the owner can't tell whether the request ran;
//   Released  if the owner has proof that the request did not run.
// Only a released or expired claim is granted again. Deterministic: time is
// passed in as log time in ms.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/wire/protocol_generated.hpp"
#include "chivefront/wire/state_generated.hpp"

namespace chivefront::ledger {

struct ClaimBounds
{
  size_t m_claims = 500000;
  size_t m_responseBytes = 512UL * 1024 * 1024; // of all stored responses
  size_t m_perResponseBytes = 1024UL * 1024;
  // Shorter retentions are raised to this value, so that a claim outlives the
  // longest run (deadline of a plain service, 10 s by default) and its retries.
  uint64_t m_minRetentionMs = 60000;
};

class Claims
{
public:
  explicit Claims(ClaimBounds aBounds = {})
    : m_bounds(aBounds)
  {
  }

  // Sets the claim in aReply and, for Done, the stored response. Refused, and
  // not granted, if the claim would exceed the bound on claims.
  void Claim(const wire::ClaimRequestT& aRequest,
             uint64_t aNow,
             wire::LedgerReplyT& aReply);
  // Sets the claim in aReply to its state after the command, whether or not the
  // command changed it. Refused if the response can't be stored; the claim is
  // then Unknown.
  void Finish(const wire::FinishClaimT& aRequest,
              uint64_t aNow,
              wire::LedgerReplyT& aReply);
  // Drops claims whose retention ended strictly before aNow. A claim that is
  // still in progress then becomes Unknown for one more retention.
  void Expire(uint64_t aNow);

  size_t Size() const { return m_claims.size(); }
  size_t ResponseBytes() const { return m_responseBytes; }

  std::vector<wire::ClaimRecordT> Save() const;
  void Load(const wire::ClaimRecordT& aRecord);

private:
  using Key = std::pair<std::string, std::string>; // team, idempotency key

  void SetExpiry(const Key& aKey, wire::ClaimRecordT& aClaim, uint64_t aAt);
  bool StoreResponse(wire::ClaimRecordT& aClaim,
                     const wire::FinishClaimT& aRequest);
  static void FillReply(const wire::ClaimRecordT& aClaim,
                        wire::LedgerReplyT& aReply);

  const ClaimBounds m_bounds;
  std::map<Key, wire::ClaimRecordT> m_claims;
  // Expiry and key of every claim; has the same keys as m_claims.
  std::set<std::pair<uint64_t, Key>> m_byExpiry;
  size_t m_responseBytes = 0; // sum over m_claims
};

} // namespace chivefront::ledger
