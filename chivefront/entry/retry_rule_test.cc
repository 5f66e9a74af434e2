// One table over every point at which an attempt can be cut off, and what the
// caller hears.
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

// What kind of request it is, and how far its answer got.
enum class RequestKind
{
  Model,        // may run twice, nothing shown yet
  ModelBegun,   // the caller has a part of the answer
  Claimed,      // must not run twice, claim held
  Unclaimed,    // must not run twice, no key
  ModelUnknown, // an earlier attempt may have run
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
  Outcome m_outcome; // told to the caller if the request fails here
};
struct Row
{
  FailurePoint m_point;
  ErrorKind m_kind;
  Expectation m_expected[5]; // by Kind
};

// clang-format off
const Row kTable[] = {
  // point, what the caller hears: Model, ModelBegun, Claimed, Unclaimed, ModelUnknown
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

// Guards against a second run of work that must not repeat, a false "not
// run", and an answer mixed from two attempts.
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

// Guards against retries past the deadline or the budget.
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

// Guards against a claim given back although the call may have run.
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

// Guards against a run by a sender that does not hold the claim.
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
