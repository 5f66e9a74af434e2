// Table test of the retry rule: every point at which an attempt can fail, and
// the error that the caller gets.
// Promises: not-run, at-most-once, whole-answer
#define BOOST_TEST_MODULE retry_rule
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/claims.h"
#include "chivefront/entry/retry_rule.h"

using namespace chivefront;
using namespace chivefront::entry;
using base::ErrorKind;
using base::Outcome;

namespace {

// The kind of the request and the state of its answer.
enum class RequestKind
{
  Model,        // idempotent; the caller has no part of the answer
  ModelBegun,   // idempotent; the caller has a part of the answer
  Claimed,      // not idempotent, with a claim
  Unclaimed,    // not idempotent, without a claim
  ModelUnknown, // idempotent; an earlier attempt may have run
};

RetryContext
ContextOf(FailurePoint aPoint, RequestKind aKind)
{
  RetryContext context;
  context.m_point = aPoint;
  context.m_idempotent = aKind == RequestKind::Model ||
                         aKind == RequestKind::ModelBegun ||
                         aKind == RequestKind::ModelUnknown;
  context.m_claimed = aKind == RequestKind::Claimed;
  context.m_answerBegun = aKind == RequestKind::ModelBegun;
  context.m_earlierMayHaveRun = aKind == RequestKind::ModelUnknown;
  return context;
}

constexpr Outcome kNotRun = Outcome::NotRun;
constexpr Outcome kUnknown = Outcome::Unknown;
constexpr RetryAction kRetry = RetryAction::Retry;
constexpr RetryAction kFail = RetryAction::Fail;
constexpr RetryAction kResume = RetryAction::Resume;

struct Expectation
{
  RetryAction m_action;
  Outcome m_outcome; // sent to the caller if the request fails here
};
struct Row
{
  FailurePoint m_point;
  ErrorKind m_kind;
  Expectation m_expected[5]; // by RequestKind
};

// clang-format off
const Row kTable[] = {
  // point, error kind; action and outcome for Model, ModelBegun, Claimed, Unclaimed, ModelUnknown
  { FailurePoint::Refused, ErrorKind::NoUpstream,
    { { kFail, kNotRun }, { kFail, kUnknown }, { kFail, kNotRun }, { kFail, kNotRun }, { kFail, kUnknown } } },
  { FailurePoint::NoLink, ErrorKind::NoUpstream,
    { { kRetry, kNotRun }, { kFail, kUnknown }, { kRetry, kNotRun }, { kRetry, kNotRun }, { kRetry, kUnknown } } },
  { FailurePoint::Rejected, ErrorKind::RejectedByAgent,
    { { kRetry, kNotRun }, { kFail, kUnknown }, { kRetry, kNotRun }, { kFail, kNotRun }, { kRetry, kUnknown } } },
  { FailurePoint::EndNotRun, ErrorKind::RejectedByAgent,
    { { kRetry, kNotRun }, { kFail, kUnknown }, { kRetry, kNotRun }, { kFail, kNotRun }, { kRetry, kUnknown } } },
  { FailurePoint::RejectedResume, ErrorKind::AnswerIncomplete,
    { { kRetry, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kRetry, kUnknown } } },
  { FailurePoint::LinkCut, ErrorKind::UpstreamLost,
    { { kResume, kUnknown }, { kResume, kUnknown }, { kResume, kUnknown }, { kResume, kUnknown }, { kResume, kUnknown } } },
  { FailurePoint::AgentRestarted, ErrorKind::UpstreamLost,
    { { kRetry, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kRetry, kUnknown } } },
  { FailurePoint::AgentUnreachable, ErrorKind::UpstreamLost,
    { { kRetry, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kRetry, kUnknown } } },
  { FailurePoint::EndUnknown, ErrorKind::UpstreamFailed,
    { { kRetry, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kRetry, kUnknown } } },
  { FailurePoint::UpstreamLost, ErrorKind::UpstreamLost,
    { { kRetry, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kRetry, kUnknown } } },
  { FailurePoint::AnswerCut, ErrorKind::AnswerIncomplete,
    { { kRetry, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kRetry, kUnknown } } },
  { FailurePoint::OverCredit, ErrorKind::AnswerIncomplete,
    { { kRetry, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kRetry, kUnknown } } },
  { FailurePoint::DeadlinePassed, ErrorKind::Timeout,
    { { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown }, { kFail, kUnknown } } },
};
// clang-format on

} // namespace

// Guards against a second run of a non-idempotent request, a wrong outcome
// "not run", and an answer mixed from two attempts.
BOOST_AUTO_TEST_CASE(EveryFailurePoint)
{
  BOOST_TEST(std::size(kTable) == kFailurePointNames.m_rows.size());
  for (const Row& row : kTable) {
    for (int i = 0; i < 5; ++i) {
      const auto decision =
        DecideRetry(ContextOf(row.m_point, static_cast<RequestKind>(i)));
      const std::string where =
        std::string(kFailurePointNames.Name(row.m_point)) + " " +
        std::to_string(i);
      BOOST_TEST((decision.m_action == row.m_expected[i].m_action), where);
      BOOST_TEST((decision.m_outcome == row.m_expected[i].m_outcome), where);
      BOOST_TEST((decision.m_kind == row.m_kind), where);
    }
  }
}

// Guards against retries after the deadline or beyond the retry budget.
BOOST_AUTO_TEST_CASE(NoRetryWithoutTimeOrBudget)
{
  for (const Row& row : kTable) {
    RetryContext context = ContextOf(row.m_point, RequestKind::Model);
    context.m_timeLeft = false;
    BOOST_TEST((DecideRetry(context).m_action == RetryAction::Fail));
    context.m_timeLeft = true;
    context.m_budgetLeft = false;
    BOOST_TEST((DecideRetry(context).m_action != RetryAction::Retry));
  }
}

// Guards against a claim that is released although its call may have run.
BOOST_AUTO_TEST_CASE(ClaimAfterTheCall)
{
  RunResult result;
  result.m_done = true;
  BOOST_TEST((ClaimStateAfter(result) == wire::ClaimState::Done));
  result.m_done = false;
  result.m_error.m_outcome = Outcome::NotRun;
  BOOST_TEST((ClaimStateAfter(result) == wire::ClaimState::Released));
  result.m_error.m_outcome = Outcome::Unknown;
  BOOST_TEST((ClaimStateAfter(result) == wire::ClaimState::Unknown));
}

// Guards against a run of a call whose claim was not granted.
BOOST_AUTO_TEST_CASE(ClaimReplies)
{
  for (const auto state : wire::EnumValuesClaimState()) {
    wire::LedgerReplyT reply;
    reply.claim = state;
    reply.http_status = 201;
    const auto outcome = InterpretClaim(reply);
    BOOST_TEST(std::holds_alternative<ClaimGranted>(outcome) ==
               (state == wire::ClaimState::Granted));
    BOOST_TEST(std::holds_alternative<net::HttpResponse>(outcome) ==
               (state == wire::ClaimState::Done));
    reply.refused = "shard is full";
    BOOST_TEST(std::holds_alternative<CallerError>(InterpretClaim(reply)));
  }
}
