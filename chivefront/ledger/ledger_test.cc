// Tests of the ledger: claims, pins, bills, suspects, snapshots, bounds.
// Promises: at-most-once, session, billed-once, not-run
#define BOOST_TEST_MODULE ledger
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/base/errors.h"
#include "chivefront/ledger/ledger.h"
#include "chivefront/ledger/log_time.h"

using namespace chivefront;
using ledger::Ledger;
using wire::ClaimState;

namespace {

constexpr uint64_t kRetention = 100000;

template<typename CommandT>
wire::LedgerReplyT
Run(Ledger& aLedger, CommandT aCommand, uint64_t aTime)
{
  wire::LedgerRequestT request;
  request.command.Set(std::move(aCommand));
  auto reply = ledger::DecodeReply(
    aLedger.Apply(1, ledger::EncodeCommand(request, aTime)));
  BOOST_REQUIRE(reply.ok());
  return std::move(*reply);
}

wire::ClaimRequestT
Claim(const std::string& aOwner, uint64_t aBody = 1)
{
  wire::ClaimRequestT claim;
  claim.team = "sales";
  claim.key = "k1";
  claim.body_hash = aBody;
  claim.owner = aOwner;
  claim.request_id = "r1";
  claim.retention_ms = kRetention;
  return claim;
}

wire::FinishClaimT
Finish(ClaimState aState, const std::string& aOwner)
{
  wire::FinishClaimT finish;
  finish.team = "sales";
  finish.key = "k1";
  finish.request_id = "r1";
  finish.state = aState;
  finish.owner = aOwner;
  finish.http_status = 201;
  finish.body = "booked";
  return finish;
}

wire::PostBillT
Bill(const std::string& aRequest, uint32_t aRun, uint64_t aCost)
{
  auto line = std::make_unique<wire::BillLineT>();
  line->request_id = aRequest;
  line->run = aRun;
  line->team = "sales";
  line->cost_micros = aCost;
  wire::PostBillT bill;
  bill.lines.push_back(std::move(line));
  return bill;
}

wire::ReportLossT
Loss(const std::string& aId, std::vector<uint64_t> aFingerprints)
{
  wire::ReportLossT loss;
  loss.loss_id = aId;
  loss.fingerprints = std::move(aFingerprints);
  return loss;
}

} // namespace

// Guards against orders of commands that grant a claim twice although the first
// owner may have run the request.
BOOST_AUTO_TEST_CASE(ClaimTable)
{
  struct Row
  {
    const char* m_what;
    std::vector<wire::FinishClaimT> m_before; // after a claim by "a"
    wire::ClaimRequestT m_claim;
    ClaimState m_expected;
  };
  std::vector<Row> rows;
  const auto add = [&rows](const char* aWhat,
                           std::vector<wire::FinishClaimT> aBefore,
                           wire::ClaimRequestT aClaim,
                           ClaimState aExpected) {
    rows.push_back({ aWhat, std::move(aBefore), std::move(aClaim), aExpected });
  };
  const auto done = Finish(ClaimState::Done, "");
  const auto unknown = Finish(ClaimState::Unknown, "");
  const auto released = Finish(ClaimState::Released, "a");
  const auto foreign = Finish(ClaimState::Released, "z");
  const auto nobody = Finish(ClaimState::Released, "");
  add("same owner again", {}, Claim("a"), ClaimState::Granted);
  add("other owner", {}, Claim("b"), ClaimState::InProgress);
  add("other body", {}, Claim("b", 2), ClaimState::BodyMismatch);
  add("done", { done }, Claim("b"), ClaimState::Done);
  add("done, same owner", { done }, Claim("a"), ClaimState::Done);
  add("unknown", { unknown }, Claim("b"), ClaimState::Unknown);
  add("unknown, same owner", { unknown }, Claim("a"), ClaimState::Unknown);
  add("unknown then done", { unknown, done }, Claim("b"), ClaimState::Done);
  add("released", { released }, Claim("b"), ClaimState::Granted);
  add("late claim of the owner that released",
      { released },
      Claim("a"),
      ClaimState::Released);
  add("other body after release",
      { released },
      Claim("b", 2),
      ClaimState::BodyMismatch);
  add("release by another", { foreign }, Claim("b"), ClaimState::InProgress);
  add("release by nobody", { nobody }, Claim("b"), ClaimState::InProgress);
  add("unknown, released",
      { unknown, released },
      Claim("b"),
      ClaimState::Unknown);
  add("done, released", { done, released }, Claim("b"), ClaimState::Done);
  add("released, late done", { released, done }, Claim("b"), ClaimState::Done);
  for (const Row& row : rows) {
    Ledger machine;
    BOOST_REQUIRE((Run(machine, Claim("a"), 1).claim == ClaimState::Granted));
    for (const auto& finish : row.m_before) {
      Run(machine, finish, 2);
    }
    const auto reply = Run(machine, row.m_claim, 3);
    BOOST_TEST((reply.claim == row.m_expected), row.m_what);
    const bool stored = row.m_expected == ClaimState::Done;
    BOOST_TEST((reply.body == (stored ? "booked" : "")), row.m_what);
  }
}

// Guards against a delayed duplicate of a release that releases the claim of
// the next owner while that owner runs the request.
BOOST_AUTO_TEST_CASE(LateReleaseDoesNotFreeTheNextOwner)
{
  Ledger machine;
  Run(machine, Claim("a"), 1);
  Run(machine, Finish(ClaimState::Released, "a"), 2);
  BOOST_REQUIRE((Run(machine, Claim("b"), 3).claim == ClaimState::Granted));
  Run(machine, Finish(ClaimState::Released, "a"), 4);
  BOOST_TEST((Run(machine, Claim("c"), 5).claim == ClaimState::InProgress));
}

// Guards against a claim that is dropped at or before the end of its retention,
// and against a claim in progress that is dropped instead of becoming unknown.
BOOST_AUTO_TEST_CASE(RetentionEdge)
{
  Ledger machine;
  Run(machine, Claim("a"), 10);
  Run(machine, Finish(ClaimState::Done, ""), 20);
  const uint64_t edge = 20 + kRetention;
  BOOST_TEST((Run(machine, Claim("b"), edge).claim == ClaimState::Done));
  BOOST_TEST((Run(machine, Claim("b"), edge + 1).claim == ClaimState::Granted));

  const uint64_t second = edge + 1 + kRetention;
  BOOST_TEST(
    (Run(machine, Claim("c"), second).claim == ClaimState::InProgress));
  BOOST_TEST(
    (Run(machine, Claim("c"), second + 1).claim == ClaimState::Unknown));
  const uint64_t third = second + 1 + kRetention;
  BOOST_TEST((Run(machine, Claim("c"), third).claim == ClaimState::Unknown));
  BOOST_TEST(
    (Run(machine, Claim("c"), third + 1).claim == ClaimState::Granted));
}

// Guards against log time that goes back when a clock or a new leader is
// behind, and against log time that advances faster than the hosts' clocks,
// which would shorten a retention.
BOOST_AUTO_TEST_CASE(LogTimeNeverRunsAhead)
{
  ledger::LogTime time;
  const auto at = [](int64_t aMs) {
    return base::TimePoint(base::Millis(aMs));
  };
  time.Observe(500, at(1000));
  BOOST_TEST(time.At(at(1000)) == 500U);
  BOOST_TEST(time.At(at(1250)) == 750U);
  time.Observe(600, at(2000)); // applied late: must not set log time back
  BOOST_TEST(time.At(at(2000)) == 1500U);

  Ledger machine;
  Run(machine, Claim("a"), 1000);
  Run(machine, Claim("a"), 400);
  BOOST_TEST(machine.Time() == 1000U);
}

// Guards against a session whose version changes because two entries pin it at
// the same time.
BOOST_AUTO_TEST_CASE(FirstPinWins)
{
  Ledger machine;
  wire::PinSessionT pin;
  pin.team = "sales";
  pin.session = "s";
  pin.version = "v1";
  BOOST_TEST(Run(machine, pin, 1).version == "v1");
  pin.version = "v2";
  BOOST_TEST(Run(machine, pin, 2).version == "v1");
  pin.team = "other";
  BOOST_TEST(Run(machine, pin, 3).version == "v2");
}

// Guards against a line that is counted twice because its bill is posted again.
BOOST_AUTO_TEST_CASE(BillLinesAreCountedOnce)
{
  Ledger machine;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Run(machine, Bill("r1", 1, 7), 1).ok);
    BOOST_TEST(Run(machine, Bill("r1", 2, 5), 1).ok);
  }
  wire::QueryBillsT query;
  query.team = "sales";
  const auto reply = Run(machine, query, 2);
  BOOST_TEST(reply.lines.size() == 2U);
  BOOST_TEST(reply.total_lines == 2U);
  BOOST_TEST(reply.total_cost_micros == 12U);
}

// Guards against a quarantine of requests that were in flight beside a crashing
// request, and against a repeated report that is counted twice.
BOOST_AUTO_TEST_CASE(OnlyTheCrashingRequestIsQuarantined)
{
  Ledger machine;
  Run(machine, Loss("l1", { 1, 2, 3 }), 1);
  Run(machine, Loss("l1", { 1, 2, 3 }), 2);
  BOOST_TEST(machine.QuarantineCandidates().empty());
  Run(machine, Loss("l2", { 3, 4 }), 3);
  const auto reply = Run(machine, Loss("l3", { 1, 3, 5 }), 4);
  BOOST_REQUIRE(reply.suspects.size() == 3U);
  const auto candidates = machine.QuarantineCandidates();
  BOOST_REQUIRE(candidates.size() == 1U);
  BOOST_TEST(candidates.front().m_fingerprint == 3U);
  BOOST_TEST(candidates.front().m_losses == 3U);
  wire::ClearSuspectT clear;
  clear.fingerprint = 3;
  Run(machine, clear, 5);
  BOOST_TEST(machine.QuarantineCandidates().empty());
}

// Guards against losses that are counted only for an innocent suspect, so that
// the request beside it that causes them is never quarantined.
BOOST_AUTO_TEST_CASE(NewCrashingRequestsCountBesideASuspect)
{
  Ledger machine;
  Run(machine, Loss("l1", { 1, 2 }), 1);
  Run(machine, Loss("l2", { 1, 3 }), 2);
  const auto reply = Run(machine, Loss("l3", { 3, 4 }), 3);
  for (const auto& row : reply.suspects) {
    BOOST_TEST(row->losses == (row->fingerprint == 3 ? 2U : 1U));
  }
  Run(machine, Loss("l4", { 3, 5 }), 4);
  const auto candidates = machine.QuarantineCandidates();
  BOOST_REQUIRE(candidates.size() == 1U);
  BOOST_TEST(candidates.front().m_fingerprint == 3U);
}

// Guards against a list of suspects for entries that omits the newest ones or
// has no bound.
BOOST_AUTO_TEST_CASE(NewestSuspectsComeFirst)
{
  Ledger machine;
  Run(machine, Loss("l1", { 1 }), 1);
  Run(machine, Loss("l2", { 2 }), 2);
  Run(machine, Loss("l3", { 3 }), 3);
  Run(machine, Loss("l4", { 1 }), 4);
  BOOST_TEST(machine.NewestSuspects(2) == (std::vector<uint64_t>{ 1, 3 }),
             boost::test_tools::per_element());
  BOOST_TEST(machine.NewestSuspects(9).size() == 3U);
  wire::ClearSuspectT clear;
  clear.fingerprint = 1;
  Run(machine, clear, 5);
  BOOST_TEST(machine.NewestSuspects(2) == (std::vector<uint64_t>{ 3, 2 }),
             boost::test_tools::per_element());
}

// Guards against bounds that drop claims, pins or bill lines instead of
// refusing new ones.
BOOST_AUTO_TEST_CASE(FullLedgerRefusesByType)
{
  ledger::LedgerBounds bounds;
  bounds.m_claims.m_claims = 1;
  bounds.m_claims.m_perResponseBytes = 3;
  bounds.m_pins = 0;
  bounds.m_bills.m_lines = 1;
  Ledger machine(bounds);
  Run(machine, Claim("a"), 1);
  auto other = Claim("b");
  other.key = "k2";
  const auto refused = Run(machine, other, 2);
  BOOST_TEST(!refused.ok);
  BOOST_TEST(refused.refused == "too many claims");
  BOOST_TEST((refused.claim != ClaimState::Granted));
  BOOST_TEST((Run(machine, Claim("a"), 3).claim == ClaimState::Granted));
  BOOST_TEST(!Run(machine, Finish(ClaimState::Done, "a"), 4).refused.empty());
  BOOST_TEST((Run(machine, Claim("b"), 5).claim == ClaimState::Unknown));
  BOOST_TEST(!Run(machine, wire::PinSessionT(), 6).refused.empty());
  BOOST_TEST(Run(machine, Bill("r1", 1, 1), 7).ok);
  BOOST_TEST(!Run(machine, Bill("r2", 1, 1), 8).ok);
  BOOST_TEST(Run(machine, Bill("r1", 1, 1), 9).ok);
}

namespace {

// Reference model of the claim of one key by the rules of claims.h, written
// independently of the implementation.
struct ReferenceClaim
{
  bool m_exists = false;
  std::string m_owner;
  ClaimState m_state = ClaimState::InProgress;

  ClaimState Claim(const std::string& aOwner)
  {
    if (!m_exists || (m_state == ClaimState::Released && m_owner != aOwner)) {
      m_exists = true;
      m_owner = aOwner;
      m_state = ClaimState::InProgress;
      return ClaimState::Granted;
    }
    const bool again = m_state == ClaimState::InProgress && m_owner == aOwner;
    return again ? ClaimState::Granted : m_state;
  }

  void Finish(ClaimState aState, const std::string& aOwner)
  {
    if (!m_exists || m_state == ClaimState::Done) {
      return;
    }
    const bool proof = m_state == ClaimState::InProgress && m_owner == aOwner;
    if (aState != ClaimState::Released || proof) {
      m_state = aState;
    }
  }
};

} // namespace

// Runs seeded histories of random commands on several keys, including repeated
// and reordered ones, with restarts from a snapshot. Guards against a reply
// that differs from the reference model of its key, and against two owners of
// one claim at the same time.
BOOST_AUTO_TEST_CASE(HistoriesAreLinearizablePerKey)
{
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    auto machine = std::make_unique<Ledger>();
    std::map<std::string, ReferenceClaim> reference;
    std::map<std::string, std::string> running; // key to owner
    for (uint64_t step = 1; step <= 300; ++step) {
      const std::string key = "k" + std::to_string(random() % 4);
      const std::string owner = "o" + std::to_string(random() % 5);
      if (random() % 2 == 0) {
        auto claim = Claim(owner);
        claim.key = key;
        const auto reply = Run(*machine, claim, step);
        const ClaimState expected = reference[key].Claim(owner);
        BOOST_REQUIRE((reply.claim == expected));
        if (reply.claim == ClaimState::Granted) {
          const auto [holder, first] = running.emplace(key, owner);
          BOOST_REQUIRE_MESSAGE(first || holder->second == owner,
                                "two owners, seed " << seed);
        }
      } else {
        constexpr ClaimState kEnds[] = { ClaimState::Done,
                                         ClaimState::Unknown,
                                         ClaimState::Released };
        const ClaimState end = kEnds[random() % std::size(kEnds)];
        auto finish = Finish(end, owner);
        finish.key = key;
        Run(*machine, finish, step);
        reference[key].Finish(end, owner);
        if (reference[key].m_state == ClaimState::Released) {
          running.erase(key);
        }
      }
      if (step % 100 == 0) {
        auto copy = std::make_unique<Ledger>();
        BOOST_REQUIRE(copy->Restore(machine->TakeSnapshot()).ok());
        BOOST_REQUIRE(copy->TakeSnapshot() == machine->TakeSnapshot());
        machine = std::move(copy);
      }
    }
  }
}

// Guards against state that is missing from a snapshot, and against damaged
// bytes that are accepted as a snapshot.
BOOST_AUTO_TEST_CASE(SnapshotKeepsEverything)
{
  Ledger machine;
  Run(machine, Claim("a"), 1);
  Run(machine, Finish(ClaimState::Done, ""), 2);
  Run(machine, Bill("r1", 1, 7), 3);
  Run(machine, Loss("l1", { 9 }), 4);
  Run(machine, Loss("l2", { 9 }), 5);
  Ledger copy;
  const std::string bytes = machine.TakeSnapshot();
  BOOST_REQUIRE(copy.Restore(bytes).ok());
  BOOST_TEST(Run(copy, Claim("b"), 6).body == "booked");
  Run(copy, Bill("r1", 1, 7), 7);
  BOOST_TEST(Run(copy, wire::QueryBillsT(), 8).total_lines == 1U);
  Run(copy, Loss("l2", { 9 }), 9);
  BOOST_TEST(copy.QuarantineCandidates().empty());
  Run(copy, Loss("l3", { 9 }), 10);
  BOOST_TEST(copy.QuarantineCandidates().size() == 1U);
  const auto damaged = copy.Restore(bytes.substr(0, bytes.size() / 2));
  BOOST_TEST((base::KindOf(damaged) == base::ErrorKind::Corrupt));
}
