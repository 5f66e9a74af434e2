// Claims of non-idempotent requests: at most one holder runs a request.
//
// A claim is granted to one owner and ends as
//   Done      with the stored response, which every later sender gets;
//   Unknown   when the holder can't tell whether the request ran;
//   Released  when the holder proved that it did not run.
// Only a released or expired claim is granted again. Pure and deterministic.
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
  // All stored responses together, and one of them.
  size_t m_responseBytes = 512UL * 1024 * 1024;
  size_t m_perResponseBytes = 1024UL * 1024;
  // Retentions below this are raised, so that a claim always outlives the
  // longest run (deadline of a plain service, 10 s by default) and its retries.
  uint64_t m_shortestRetentionMs = 60000;
};

class Claims
{
public:
  explicit Claims(ClaimBounds aBounds = {})
    : m_bounds(aBounds)
  {
  }

  // Sets claim and, for Done, the stored response in aReply; refused when the
  // claim would exceed the bound on claims: it was not granted.
  void Claim(const wire::ClaimRequestT& aRequest,
             uint64_t aNow,
             wire::LedgerReplyT& aReply);
  // Sets claim to the state after the command, whether or not it applied.
  // Refused when the response can't be stored; the claim is then Unknown.
  void Finish(const wire::FinishClaimT& aRequest,
              uint64_t aNow,
              wire::LedgerReplyT& aReply);
  // Drops claims whose retention ended strictly before aNow. A claim still in
  // progress by then becomes Unknown for one more retention.
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
  static void Report(const wire::ClaimRecordT& aClaim,
                     wire::LedgerReplyT& aReply);

  const ClaimBounds m_bounds;
  std::map<Key, wire::ClaimRecordT> m_claims;
  // Every claim by its expiry; m_claims and m_byExpiry hold the same keys.
  std::set<std::pair<uint64_t, Key>> m_byExpiry;
  size_t m_responseBytes = 0; // sum over m_claims
};

} // namespace chivefront::ledger
