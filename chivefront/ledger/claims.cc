// State transitions of claims.
#include "chivefront/ledger/claims.h"

#include <algorithm>

namespace chivefront::ledger {

using wire::ClaimState;

void
Claims::SetExpiry(const Key& aKey, wire::ClaimRecordT& aClaim, uint64_t aAt)
{
  m_byExpiry.erase({ aClaim.expires_ms, aKey });
  aClaim.expires_ms = aAt;
  m_byExpiry.emplace(aAt, aKey);
}

void
Claims::FillReply(const wire::ClaimRecordT& aClaim, wire::LedgerReplyT& aReply)
{
  aReply.claim = aClaim.state;
  aReply.claim_request_id = aClaim.request_id;
  if (aClaim.state == ClaimState::Done) {
    aReply.http_status = aClaim.http_status;
    aReply.content_type = aClaim.content_type;
    aReply.body = aClaim.body;
  }
}

void
Claims::Claim(const wire::ClaimRequestT& aRequest,
              uint64_t aNow,
              wire::LedgerReplyT& aReply)
{
  const Key key{ aRequest.team, aRequest.key };
  const auto found = m_claims.find(key);
  if (found != m_claims.end()) {
    wire::ClaimRecordT& claim = found->second;
    const bool sameOwner =
      claim.owner == aRequest.owner && claim.request_id == aRequest.request_id;
    FillReply(claim, aReply);
    if (claim.body_hash != aRequest.body_hash) {
      aReply = {};
      aReply.claim = ClaimState::BodyMismatch;
    } else if (claim.state == ClaimState::InProgress && sameOwner) {
      aReply.claim = ClaimState::Granted;
    } else if (claim.state == ClaimState::Released && !sameOwner) {
      claim.owner = aRequest.owner;
      claim.request_id = aRequest.request_id;
      claim.state = ClaimState::InProgress;
      SetExpiry(key, claim, aNow + claim.retention_ms);
      FillReply(claim, aReply);
      aReply.claim = ClaimState::Granted;
    }
    return;
  }
  if (m_claims.size() >= m_bounds.m_claims) {
    aReply.claim = ClaimState::Unknown;
    aReply.refused = "too many claims";
    return;
  }
  wire::ClaimRecordT& claim = m_claims[key];
  claim.team = aRequest.team;
  claim.key = aRequest.key;
  claim.body_hash = aRequest.body_hash;
  claim.owner = aRequest.owner;
  claim.request_id = aRequest.request_id;
  claim.retention_ms =
    std::max(aRequest.retention_ms, m_bounds.m_minRetentionMs);
  claim.state = ClaimState::InProgress;
  SetExpiry(key, claim, aNow + claim.retention_ms);
  FillReply(claim, aReply);
  aReply.claim = ClaimState::Granted;
}

bool
Claims::StoreResponse(wire::ClaimRecordT& aClaim,
                      const wire::FinishClaimT& aRequest)
{
  const size_t bytes = aRequest.body.size();
  if (bytes > m_bounds.m_perResponseBytes ||
      m_responseBytes + bytes > m_bounds.m_responseBytes) {
    return false;
  }
  m_responseBytes += bytes;
  aClaim.http_status = aRequest.http_status;
  aClaim.content_type = aRequest.content_type;
  aClaim.body = aRequest.body;
  return true;
}

void
Claims::Finish(const wire::FinishClaimT& aRequest,
               uint64_t aNow,
               wire::LedgerReplyT& aReply)
{
  const Key key{ aRequest.team, aRequest.key };
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    aReply.claim = ClaimState::Unknown;
    return;
  }
  wire::ClaimRecordT& claim = found->second;
  const ClaimState before = claim.state;
  if (claim.request_id == aRequest.request_id && before != ClaimState::Done) {
    switch (aRequest.state) {
      case ClaimState::Done:
        if (StoreResponse(claim, aRequest)) {
          claim.state = ClaimState::Done;
        } else {
          claim.state = ClaimState::Unknown;
          aReply.refused = "no room to store the response";
        }
        break;
      case ClaimState::Unknown:
        claim.state = ClaimState::Unknown;
        break;
      case ClaimState::Released:
        // A release by another owner does not show whether the present owner
        // runs the request.
        if (before == ClaimState::InProgress && claim.owner == aRequest.owner) {
          claim.state = ClaimState::Released;
        }
        break;
      default:
        break;
    }
  }
  if (claim.state != before) {
    SetExpiry(key, claim, aNow + claim.retention_ms);
  }
  FillReply(claim, aReply);
}

void
Claims::Expire(uint64_t aNow)
{
  while (!m_byExpiry.empty() && m_byExpiry.begin()->first < aNow) {
    const Key key = m_byExpiry.begin()->second;
    const auto found = m_claims.find(key);
    if (found->second.state == ClaimState::InProgress) {
      found->second.state = ClaimState::Unknown;
      SetExpiry(key, found->second, aNow + found->second.retention_ms);
      continue;
    }
    m_responseBytes -= found->second.body.size();
    m_claims.erase(found);
    m_byExpiry.erase(m_byExpiry.begin());
  }
}

std::vector<wire::ClaimRecordT>
Claims::Save() const
{
  std::vector<wire::ClaimRecordT> records;
  records.reserve(m_claims.size());
  for (const auto& [key, claim] : m_claims) {
    records.push_back(claim);
  }
  return records;
}

void
Claims::Load(const wire::ClaimRecordT& aRecord)
{
  const Key key{ aRecord.team, aRecord.key };
  m_responseBytes += aRecord.body.size();
  m_byExpiry.emplace(aRecord.expires_ms, key);
  m_claims[key] = aRecord;
}

} // namespace chivefront::ledger
