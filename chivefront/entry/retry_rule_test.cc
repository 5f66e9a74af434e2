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
enum class Kind
{
  Model,        // may run twice, nothing shown yet
  ModelBegun,   // the caller has a part of the answer
  Claimed,      // must not run twice, claim held
  Unclaimed,    // must not run twice, no key
  ModelUnknown, // an earlier attempt may have run
};

RetryFacts
FactsOf(FailurePoint aPoint, Kind aKind)
{
  RetryFacts facts;
  facts.m_point = aPoint;
  facts.m_idempotent = aKind == Kind::Model || aKind == Kind::ModelBegun ||
                       aKind == Kind::ModelUnknown;
  facts.m_claimed = aKind == Kind::Claimed;
  facts.m_answerBegun = aKind == Kind::ModelBegun;
  facts.m_earlierUnknown = aKind == Kind::ModelUnknown;
  return facts;
}

constexpr Outcome kNot = Outcome::NotRun;
constexpr Outcome kUnk = Outcome::Unknown;
constexpr NextStep kRetry = NextStep::Retry;
constexpr NextStep kFail = NextStep::Fail;
constexpr NextStep kResume = NextStep::Resume;

struct Cell
{
  NextStep m_step;
  Outcome m_outcome; // told to the caller if the request fails here
};
struct Row
{
  FailurePoint m_point;
  ErrorKind m_kind;
  Cell m_cells[5]; // by Kind
};

// clang-format off
const Row kTable[] = {
  // point, what the caller hears: Model, ModelBegun, Claimed, Unclaimed, ModelUnknown
  { FailurePoint::Refused, ErrorKind::NoUpstream,
    { { kFail, kNot }, { kFail, kUnk }, { kFail, kNot }, { kFail, kNot }, { kFail, kUnk } } },
  { FailurePoint::NoLink, ErrorKind::NoUpstream,
    { { kRetry, kNot }, { kFail, kUnk }, { kRetry, kNot }, { kRetry, kNot }, { kRetry, kUnk } } },
  { FailurePoint::Rejected, ErrorKind::RejectedByAgent,
    { { kRetry, kNot }, { kFail, kUnk }, { kRetry, kNot }, { kFail, kNot }, { kRetry, kUnk } } },
  { FailurePoint::EndNotRun, ErrorKind::RejectedByAgent,
    { { kRetry, kNot }, { kFail, kUnk }, { kRetry, kNot }, { kFail, kNot }, { kRetry, kUnk } } },
  { FailurePoint::RejectedResume, ErrorKind::AnswerIncomplete,
    { { kRetry, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kRetry, kUnk } } },
  { FailurePoint::LinkCut, ErrorKind::UpstreamLost,
    { { kResume, kUnk }, { kResume, kUnk }, { kResume, kUnk }, { kResume, kUnk }, { kResume, kUnk } } },
  { FailurePoint::AgentRestarted, ErrorKind::UpstreamLost,
    { { kRetry, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kRetry, kUnk } } },
  { FailurePoint::AgentUnreachable, ErrorKind::UpstreamLost,
    { { kRetry, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kRetry, kUnk } } },
  { FailurePoint::EndUnknown, ErrorKind::UpstreamFailed,
    { { kRetry, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kRetry, kUnk } } },
  { FailurePoint::UpstreamLost, ErrorKind::UpstreamLost,
    { { kRetry, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kRetry, kUnk } } },
  { FailurePoint::AnswerCut, ErrorKind::AnswerIncomplete,
    { { kRetry, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kRetry, kUnk } } },
  { FailurePoint::OverCredit, ErrorKind::AnswerIncomplete,
    { { kRetry, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kRetry, kUnk } } },
  { FailurePoint::DeadlinePassed, ErrorKind::Timeout,
    { { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk }, { kFail, kUnk } } },
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
        DecideAfter(FactsOf(row.m_point, static_cast<Kind>(i)));
      const std::string where =
        std::string(kFailurePointNames.Name(row.m_point)) + " " +
        std::to_string(i);
      BOOST_TEST((decision.m_step == row.m_cells[i].m_step), where);
      BOOST_TEST((decision.m_outcome == row.m_cells[i].m_outcome), where);
      BOOST_TEST((decision.m_kind == row.m_kind), where);
    }
  }
}

// Guards against retries past the deadline or the budget.
BOOST_AUTO_TEST_CASE(NoRetryWithoutTimeOrBudget)
{
  for (const Row& row : kTable) {
    RetryFacts facts = FactsOf(row.m_point, Kind::Model);
    facts.m_timeLeft = false;
    BOOST_TEST((DecideAfter(facts).m_step == NextStep::Fail));
    facts.m_timeLeft = true;
    facts.m_budgetLeft = false;
    BOOST_TEST((DecideAfter(facts).m_step != NextStep::Retry));
  }
}

// Guards against a claim given back although the call may have run.
BOOST_AUTO_TEST_CASE(ClaimAfterTheCall)
{
  RunResult result;
  result.m_done = true;
  BOOST_TEST((StateAfter(result) == wire::ClaimState::Done));
  result.m_done = false;
  result.m_error.m_outcome = Outcome::NotRun;
  BOOST_TEST((StateAfter(result) == wire::ClaimState::Released));
  result.m_error.m_outcome = Outcome::Unknown;
  BOOST_TEST((StateAfter(result) == wire::ClaimState::Unknown));
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
