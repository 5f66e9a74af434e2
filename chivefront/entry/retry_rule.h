// What to do after an attempt failed, and what the caller hears. Pure.
//
// The rule follows from three facts: whether the failure proves that the
// request did not run, whether running it twice does harm, and whether the
// caller has seen a part of the answer. Any doubt counts as "may have run".
#pragma once

#include "chivefront/base/errors.h"
#include "chivefront/base/names.h"

namespace chivefront::entry {

// Where an attempt was cut off.
enum class FailurePoint
{
  Refused,          // the entry's own checks failed before the send
  NoLink,           // no open link to the agent, or the send was refused
  Rejected,         // the agent refused it before starting it
  RejectedResume,   // the agent does not know the stream that was asked for
  LinkCut,          // the link closed; the agent may well go on
  AgentRestarted,   // another incarnation answers: it proves nothing
  AgentUnreachable, // no new link within the allowed time
  EndNotRun,        // the agent proves that no byte reached the upstream
  EndUnknown,       // the upstream failed after it may have begun
  UpstreamLost,     // the upstream was lost while it ran the request
  AnswerCut,        // the end came, but chunks could not be had
  OverCredit,       // the agent sent more than it was allowed
  DeadlinePassed,   // after dispatch
};

inline constexpr base::NameTable<FailurePoint, 13> kFailurePointNames{ {
  { { FailurePoint::Refused, "refused" },
    { FailurePoint::NoLink, "no_link" },
    { FailurePoint::Rejected, "rejected" },
    { FailurePoint::RejectedResume, "rejected_resume" },
    { FailurePoint::LinkCut, "link_cut" },
    { FailurePoint::AgentRestarted, "agent_restarted" },
    { FailurePoint::AgentUnreachable, "agent_unreachable" },
    { FailurePoint::EndNotRun, "end_not_run" },
    { FailurePoint::EndUnknown, "end_unknown" },
    { FailurePoint::UpstreamLost, "upstream_lost" },
    { FailurePoint::AnswerCut, "answer_cut" },
    { FailurePoint::OverCredit, "over_credit" },
    { FailurePoint::DeadlinePassed, "deadline_passed" } },
} };

struct RetryContext
{
  FailurePoint m_point = FailurePoint::EndUnknown;
  bool m_idempotent = false; // a second run does no harm
  // A non-idempotent request without a claim gets one attempt only, because
  // nothing would stop a second entry from running it meanwhile.
  bool m_claimed = false;
  // An earlier attempt of this request may have run.
  bool m_earlierMayHaveRun = false;
  bool m_answerBegun = false; // the caller has got a part of the answer
  bool m_timeLeft = true;
  bool m_budgetLeft = true;
};

enum class RetryAction
{
  Resume, // the same attempt over a new link
  Retry,  // a new attempt
  Fail,
};

struct RetryDecision
{
  RetryAction m_action = RetryAction::Fail;
  // For Fail: what the caller is told.
  base::Outcome m_outcome = base::Outcome::Unknown;
  base::ErrorKind m_kind = base::ErrorKind::Internal;
};

// True when the failure proves that no upstream got a byte of the request.
bool
ProvesNotRun(FailurePoint aPoint);

RetryDecision
DecideRetry(const RetryContext& aContext);

} // namespace chivefront::entry
