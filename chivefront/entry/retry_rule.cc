// Implementation of the retry rule.
#include "chivefront/entry/retry_rule.h"

namespace chivefront::entry {
namespace detail {

base::ErrorKind
ErrorKindOf(FailurePoint aPoint)
{
  switch (aPoint) {
    case FailurePoint::Refused:
    case FailurePoint::NoLink:
      return base::ErrorKind::NoUpstream;
    case FailurePoint::Rejected:
    case FailurePoint::EndNotRun:
      return base::ErrorKind::RejectedByAgent;
    case FailurePoint::RejectedResume:
    case FailurePoint::AnswerCut:
    case FailurePoint::OverCredit:
      return base::ErrorKind::AnswerIncomplete;
    case FailurePoint::LinkCut:
    case FailurePoint::AgentRestarted:
    case FailurePoint::AgentUnreachable:
    case FailurePoint::UpstreamLost:
      return base::ErrorKind::UpstreamLost;
    case FailurePoint::EndUnknown:
      return base::ErrorKind::UpstreamFailed;
    case FailurePoint::DeadlinePassed:
      return base::ErrorKind::Timeout;
  }
  return base::ErrorKind::Internal;
}

} // namespace detail

bool
ProvesNotRun(FailurePoint aPoint)
{
  // RejectedResume proves nothing: the dispatch may still be in flight on the
  // old link when the agent answers on the new link.
  return aPoint == FailurePoint::Refused || aPoint == FailurePoint::NoLink ||
         aPoint == FailurePoint::Rejected || aPoint == FailurePoint::EndNotRun;
}

RetryDecision
DecideRetry(const RetryContext& aContext)
{
  RetryDecision decision;
  const bool notRun = ProvesNotRun(aContext.m_point) &&
                      !aContext.m_answerBegun && !aContext.m_earlierMayHaveRun;
  decision.m_outcome = notRun ? base::Outcome::NotRun : base::Outcome::Unknown;
  decision.m_kind = detail::ErrorKindOf(aContext.m_point);
  if (!aContext.m_timeLeft ||
      aContext.m_point == FailurePoint::DeadlinePassed ||
      aContext.m_point == FailurePoint::Refused) {
    return decision;
  }
  if (aContext.m_point == FailurePoint::LinkCut) {
    decision.m_action = RetryAction::Resume;
    return decision;
  }
  // NoLink means that nothing was dispatched, so also an unclaimed request
  // still has its one attempt.
  const bool harmless = aContext.m_idempotent ||
                        (notRun && aContext.m_claimed) ||
                        aContext.m_point == FailurePoint::NoLink;
  if (harmless && !aContext.m_answerBegun && aContext.m_budgetLeft) {
    decision.m_action = RetryAction::Retry;
  }
  return decision;
}

} // namespace chivefront::entry
