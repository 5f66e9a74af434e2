// The retry rule.
#include "chivefront/entry/retry_rule.h"

namespace chivefront::entry {
namespace detail {

base::ErrorKind
KindOfPoint(FailurePoint aPoint)
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
  // RejectedResume is no proof: the dispatch may still be on its way over the
  // old link when the agent answers on the new one.
  return aPoint == FailurePoint::Refused || aPoint == FailurePoint::NoLink ||
         aPoint == FailurePoint::Rejected || aPoint == FailurePoint::EndNotRun;
}

RetryDecision
DecideAfter(const RetryFacts& aFacts)
{
  RetryDecision decision;
  const bool notRun = ProvesNotRun(aFacts.m_point) && !aFacts.m_answerBegun &&
                      !aFacts.m_earlierUnknown;
  decision.m_outcome = notRun ? base::Outcome::NotRun : base::Outcome::Unknown;
  decision.m_kind = detail::KindOfPoint(aFacts.m_point);
  if (!aFacts.m_timeLeft || aFacts.m_point == FailurePoint::DeadlinePassed ||
      aFacts.m_point == FailurePoint::Refused) {
    return decision;
  }
  if (aFacts.m_point == FailurePoint::LinkCut) {
    decision.m_step = NextStep::Resume;
    return decision;
  }
  // Without a link nothing was dispatched, so the one attempt is still unused.
  const bool harmless = aFacts.m_idempotent || (notRun && aFacts.m_claimed) ||
                        aFacts.m_point == FailurePoint::NoLink;
  if (harmless && !aFacts.m_answerBegun && aFacts.m_budgetLeft) {
    decision.m_step = NextStep::Retry;
  }
  return decision;
}

} // namespace chivefront::entry
