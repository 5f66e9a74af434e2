// Tests of ChangeProcessor and LeadershipConfirmer with a replica whose
// callbacks the test runs explicitly.
// Promises: config
#define BOOST_TEST_MODULE changes
#include <boost/test/unit_test.hpp>

#include <deque>

#include "chivefront/base/errors.h"
#include "chivefront/control/changes.h"

using namespace chivefront;
using wire::ChangeResult;

namespace {

// Queues proposals and confirmations until the test completes them.
class ManualReplica final : public control::ReplicaPort
{
public:
  explicit ManualReplica(consensus::StateMachine& aMachine)
    : m_machine(aMachine)
  {
  }

  void Propose(std::string aCommand,
               consensus::Group::ProposeCallback aDone) override
  {
    m_proposals.emplace_back(std::move(aCommand), std::move(aDone));
  }
  void ConfirmLeadership(consensus::Group::ConfirmCallback aDone) override
  {
    m_confirmations.push_back(std::move(aDone));
  }
  void Receive(std::string, std::string) override {}
  void TransferLeadership() override {}
  consensus::GroupStatus Status() const override
  {
    consensus::GroupStatus status;
    status.m_leader = "other";
    return status;
  }

  void Confirm(const absl::Status& aStatus)
  {
    auto done = std::move(m_confirmations.front());
    m_confirmations.pop_front();
    done(aStatus.ok() ? absl::StatusOr<uint64_t>(1)
                      : absl::StatusOr<uint64_t>(aStatus));
  }
  void Commit()
  {
    auto [command, done] = std::move(m_proposals.front());
    m_proposals.pop_front();
    done(m_machine.Apply(1, command));
  }
  void Refuse(const absl::Status& aStatus)
  {
    auto [command, done] = std::move(m_proposals.front());
    m_proposals.pop_front();
    done(aStatus);
  }

  std::deque<std::pair<std::string, consensus::Group::ProposeCallback>>
    m_proposals;
  std::deque<consensus::Group::ConfirmCallback> m_confirmations;

private:
  consensus::StateMachine& m_machine;
};

struct Fixture
{
  Fixture()
    : m_events("test", "", 100)
    , m_replica(m_store)
    , m_confirmer(m_replica)
    , m_changes(m_store,
                m_replica,
                m_confirmer,
                m_events,
                [](const std::function<void()>& aJob) { aJob(); })
  {
  }

  // With an empty aKey, asks for the outcome of aId.
  void Submit(const std::string& aId, const std::string& aKey)
  {
    wire::ChangeRequestT change;
    change.change_id = aId;
    if (!aKey.empty()) {
      change.entries.push_back(std::make_unique<wire::ConfigEntryT>());
      change.entries.front()->key = aKey;
      change.entries.front()->value = "{}";
    }
    m_changes.Submit(std::move(change),
                     control::Proposer::Operator,
                     [this](wire::ChangeReplyT aReply) {
                       m_replies.push_back(std::move(aReply));
                     });
  }
  ChangeResult LastResult() const { return m_replies.back().result; }

  control::ConfigStore m_store;
  base::EventLog m_events;
  ManualReplica m_replica;
  control::LeadershipConfirmer m_confirmer;
  control::ChangeProcessor m_changes;
  std::vector<wire::ChangeReplyT> m_replies;
};

} // namespace

// Guards against completing a request with a confirmation round that began
// before the request, and against one round for each request.
BOOST_AUTO_TEST_CASE(RequestsShareTheNextRound)
{
  Fixture fixture;
  int answered = 0;
  const auto ask = [&] {
    fixture.m_confirmer.Confirm(
      [&answered](absl::StatusOr<uint64_t>) { ++answered; });
  };
  ask();
  for (int i = 0; i < 50; ++i) {
    ask();
  }
  BOOST_TEST(fixture.m_replica.m_confirmations.size() == 1U);
  fixture.m_replica.Confirm(absl::OkStatus());
  BOOST_TEST(answered == 1);
  fixture.m_replica.Confirm(absl::OkStatus());
  BOOST_TEST(answered == 51);
  BOOST_TEST(fixture.m_confirmer.RoundCount() == 2U);
  BOOST_TEST(fixture.m_replica.m_confirmations.empty());
}

// Guards against validating on a replica that is not the leader, and against a
// reply NotLeader when the outcome is unknown.
BOOST_AUTO_TEST_CASE(FailureRepliesTellWhetherTheOutcomeIsKnown)
{
  Fixture fixture;
  const auto notLeader = base::MakeError(base::ErrorKind::NotLeader, "");
  const auto unknown = base::MakeError(base::ErrorKind::Unavailable, "");
  fixture.Submit("a", "out/domain/x");
  BOOST_TEST(fixture.m_replica.m_proposals.empty());
  fixture.m_replica.Confirm(notLeader);
  BOOST_TEST((fixture.LastResult() == ChangeResult::NotLeader));
  BOOST_TEST(fixture.m_replies.back().leader == "other");
  fixture.Submit("a", "out/domain/x");
  fixture.m_replica.Confirm(absl::OkStatus());
  fixture.m_replica.Refuse(unknown);
  BOOST_TEST((fixture.LastResult() == ChangeResult::Unavailable));
  fixture.Submit("a", "what/x");
  fixture.m_replica.Confirm(absl::OkStatus());
  BOOST_TEST((fixture.LastResult() == ChangeResult::Invalid));
  BOOST_TEST(fixture.m_replica.m_proposals.empty());
}

// Guards against rejecting the second of two concurrent changes without an
// expected revision, or committing it without a new validation. Both are
// validated before the first one commits.
BOOST_AUTO_TEST_CASE(ConcurrentChangeIsValidatedAgain)
{
  Fixture fixture;
  fixture.Submit("a", "out/domain/x");
  fixture.Submit("b", "out/domain/y");
  fixture.m_replica.Confirm(absl::OkStatus());
  fixture.m_replica.Confirm(absl::OkStatus());
  BOOST_REQUIRE(fixture.m_replica.m_proposals.size() == 2U);
  fixture.m_replica.Commit();
  fixture.m_replica.Commit(); // "b", whose base revision is old now
  BOOST_REQUIRE(fixture.m_replies.size() == 1U);
  BOOST_REQUIRE(fixture.m_replica.m_proposals.size() == 1U);
  fixture.m_replica.Commit();
  BOOST_TEST((fixture.LastResult() == ChangeResult::Accepted));
  BOOST_TEST(fixture.m_store.Revision() == 3U);
}

// Guards against an operator who can't find out the outcome of a change whose
// reply was lost.
BOOST_AUTO_TEST_CASE(OutcomeCanBeAskedFor)
{
  Fixture fixture;
  fixture.Submit("a", "");
  fixture.m_replica.Confirm(absl::OkStatus());
  BOOST_TEST((fixture.LastResult() == ChangeResult::Invalid));
  fixture.Submit("a", "out/domain/x");
  fixture.m_replica.Confirm(absl::OkStatus());
  fixture.m_replica.Commit();
  fixture.Submit("a", "");
  fixture.m_replica.Confirm(absl::OkStatus());
  BOOST_TEST((fixture.LastResult() == ChangeResult::Accepted));
  BOOST_TEST(fixture.m_replies.back().revision == 2U);
}
