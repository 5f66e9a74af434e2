// Claims of calls in the ledger.
#include "chivefront/entry/claims.h"

#include "chivefront/base/errors.h"

namespace chivefront::entry {
namespace detail {

std::string
ShardKey(const RunSpec& aSpec)
{
  return aSpec.m_team + "/" + aSpec.m_claimKey;
}

} // namespace detail

ClaimOutcome
InterpretClaim(const wire::LedgerReplyT& aReply)
{
  if (!aReply.refused.empty()) {
    return CallerError(base::ErrorKind::Overloaded, aReply.refused);
  }
  switch (aReply.claim) {
    case wire::ClaimState::Granted:
      return ClaimGranted{};
    case wire::ClaimState::Done: {
      net::HttpResponse response;
      response.m_status = static_cast<int>(aReply.http_status);
      response.m_contentType = aReply.content_type;
      response.m_body = aReply.body;
      return response;
    }
    case wire::ClaimState::InProgress:
      return CallerError(base::ErrorKind::InProgress,
                         "a request with this key is in progress");
    case wire::ClaimState::BodyMismatch:
      return CallerError(base::ErrorKind::KeyReused,
                         "this key was used with another request");
    default:
      return CallerError(base::ErrorKind::OutcomeUnknown,
                         "the outcome of the request with this key is not "
                         "known; it was not run again");
  }
}

wire::ClaimState
ClaimStateAfter(const RunResult& aResult)
{
  if (aResult.m_done) {
    return wire::ClaimState::Done;
  }
  return aResult.m_error.m_outcome == base::Outcome::NotRun
           ? wire::ClaimState::Released
           : wire::ClaimState::Unknown;
}

Claims::Claims(EntryComponents& aComponents)
  : m_components(aComponents)
{
}

net::Task<ClaimOutcome>
Claims::Acquire(const RunSpec& aSpec,
                const std::string& aOwner,
                uint64_t aBodyHash,
                base::Millis aRetention)
{
  wire::ClaimRequestT claim;
  claim.team = aSpec.m_team;
  claim.key = aSpec.m_claimKey;
  claim.body_hash = aBodyHash;
  claim.owner = aOwner;
  claim.request_id = aSpec.m_requestId;
  claim.retention_ms = static_cast<uint64_t>(aRetention.Count());
  const base::TimePoint until = std::min(
    aSpec.m_deadline,
    m_components.m_clock.Now() + m_components.m_limits.m_ledgerTimeout);
  const auto reply = co_await m_components.m_ledger.Run(
    detail::ShardKey(aSpec), std::move(claim), until);
  if (!reply.ok()) {
    // The ledger may have granted the claim although its reply is missing. The
    // call is not run under this owner; a later request with the same key gets
    // the state that the ledger holds.
    ClaimOutcome refused = CallerError::BeforeDispatch(reply.status());
    co_return refused;
  }
  ClaimOutcome outcome = InterpretClaim(*reply);
  m_components.m_events.Record(
    "claim",
    { { "team", aSpec.m_team },
      { "state", wire::EnumNameClaimState(reply->claim) } },
    aSpec.m_requestId);
  co_return outcome;
}

net::Task<absl::Status>
Claims::Finish(const RunSpec& aSpec,
               const std::string& aOwner,
               wire::ClaimState aState,
               const net::HttpResponse& aResponse)
{
  wire::FinishClaimT finish;
  finish.team = aSpec.m_team;
  finish.key = aSpec.m_claimKey;
  finish.request_id = aSpec.m_requestId;
  finish.state = aState;
  finish.owner = aOwner;
  if (aState == wire::ClaimState::Done) {
    finish.http_status = static_cast<uint32_t>(aResponse.m_status);
    finish.content_type = aResponse.m_contentType;
    finish.body = aResponse.m_body;
  }
  const auto reply = co_await m_components.m_ledger.Run(
    detail::ShardKey(aSpec),
    std::move(finish),
    m_components.m_clock.Now() + m_components.m_limits.m_ledgerTimeout);
  if (!reply.ok()) {
    co_return reply.status();
  }
  m_components.m_events.Record(
    "claim_finished",
    { { "team", aSpec.m_team }, { "state", wire::EnumNameClaimState(aState) } },
    aSpec.m_requestId);
  co_return absl::OkStatus();
}

} // namespace chivefront::entry
