// Tests of the steps of a change and of shared confirmations, on a replica
// whose answers the test gives by hand.
// Promises: config
#define BOOST_TEST_MODULE changes
#include <boost/test/unit_test.hpp>

#include <deque>

#include "chivefront/base/errors.h"
#include "chivefront/control/changes.h"

using namespace chivefront;
using wire::ChangeResult;

namespace {

// Keeps calls until the test answers them.
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

  // aKey empty: asks for the outcome of aId.
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

// Guards against a round that answers a question asked after it began, and
// against one round per question.
BOOST_AUTO_TEST_CASE(QuestionsShareTheNextRound)
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

// Guards against a validation on a replica that does not lead, and against
// "not accepted" where that is not known.
BOOST_AUTO_TEST_CASE(FailuresKeepTheirMeaning)
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

// Two changes without an expected revision, validated before either commits.
// Guards against the second being refused or committed unchecked.
BOOST_AUTO_TEST_CASE(OvertakenChangeIsValidatedAgain)
{
  Fixture fixture;
  fixture.Submit("a", "out/domain/x");
  fixture.Submit("b", "out/domain/y");
  fixture.m_replica.Confirm(absl::OkStatus());
  fixture.m_replica.Confirm(absl::OkStatus());
  BOOST_REQUIRE(fixture.m_replica.m_proposals.size() == 2U);
  fixture.m_replica.Commit();
  fixture.m_replica.Commit(); // overtaken
  BOOST_REQUIRE(fixture.m_replies.size() == 1U);
  BOOST_REQUIRE(fixture.m_replica.m_proposals.size() == 1U);
  fixture.m_replica.Commit();
  BOOST_TEST((fixture.LastResult() == ChangeResult::Accepted));
  BOOST_TEST(fixture.m_store.Revision() == 3U);
}

// Guards against an operator who can't learn the outcome after a lost reply.
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
