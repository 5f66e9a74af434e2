// Decides what to do after a failed attempt, and which error the caller gets
// if the request fails. Pure functions.
//
// The rule depends on three facts: whether the failure proves that the request
// did not run, whether the request is idempotent, and whether the caller has
// received a part of the answer. Without a proof the request counts as "may
// have run".
#pragma once

#include "chivefront/base/errors.h"
#include "chivefront/base/names.h"

namespace chivefront::entry {

// Where an attempt failed. The event log uses the names of
// kFailurePointNames.
enum class FailurePoint
{
  Refused,          // the entry's own checks failed before the send
  NoLink,           // no open link to the agent, or the link refused the send
  Rejected,         // the agent refused the request before it started it
  RejectedResume,   // the agent does not know the stream to be resumed
  LinkCut,          // the link closed; the agent may still run the request
  AgentRestarted,   // the agent has a new incarnation, which proves nothing
  AgentUnreachable, // no new link to the agent within the reconnect timeout
  EndNotRun,        // the agent proves that no byte reached the upstream
  EndUnknown,       // the upstream failed after it may have begun the request
  UpstreamLost,     // the upstream was lost while it ran the request
  AnswerCut,        // the answer stopped before all of its chunks arrived
  OverCredit,       // the agent sent more data than its credit allows
  DeadlinePassed,   // the deadline passed after the dispatch
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

// What the retry decision depends on.
struct RetryContext
{
  FailurePoint m_point = FailurePoint::EndUnknown;
  bool m_idempotent = false;
  // The request holds a claim. A non-idempotent request without a claim gets
  // one attempt only, because nothing would stop another entry from running it
  // at the same time.
  bool m_claimed = false;
  // An earlier attempt of this request may have run.
  bool m_earlierMayHaveRun = false;
  bool m_answerBegun = false; // the caller has received a part of the answer
  bool m_timeLeft = true;     // the deadline has not passed
  bool m_budgetLeft = true;   // the retry budget allows a retry
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
  // For Fail: the error that the caller gets.
  base::Outcome m_outcome = base::Outcome::Unknown;
  base::ErrorKind m_kind = base::ErrorKind::Internal;
};

// True when the failure proves that no upstream received a byte of the request.
bool
ProvesNotRun(FailurePoint aPoint);

RetryDecision
DecideRetry(const RetryContext& aContext);

} // namespace chivefront::entry
