// Tests of groups of three replicas in one process, with real files.
// Promises: config
#define BOOST_TEST_MODULE group
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <thread>

#include "chivefront/base/errors.h"
#include "chivefront/consensus/group.h"

using namespace chivefront;
using consensus::Group;

namespace {

// Concatenates commands. The result of a command is the number of commands so
// far.
class ListMachine final : public consensus::StateMachine
{
public:
  std::string Apply(uint64_t, std::string_view aCommand) override
  {
    const std::lock_guard guard(m_lock);
    m_text.append(aCommand).append(";");
    return std::to_string(++m_count);
  }
  std::string TakeSnapshot() const override
  {
    const std::lock_guard guard(m_lock);
    return std::to_string(m_count) + ":" + m_text;
  }
  absl::Status Restore(std::string_view aSnapshot) override
  {
    const std::lock_guard guard(m_lock);
    const size_t colon = aSnapshot.find(':');
    m_count = std::stoull(std::string(aSnapshot.substr(0, colon)));
    m_text = aSnapshot.substr(colon + 1);
    return absl::OkStatus();
  }
  std::string Text() const
  {
    const std::lock_guard guard(m_lock);
    return m_text;
  }

private:
  mutable std::mutex m_lock;
  uint64_t m_count = 0;
  std::string m_text;
};

// Replicas a, b and c that send messages to each other by direct calls.
class Cluster
{
public:
  explicit Cluster(uint64_t aSnapshotEvery = 10000, uint64_t aTrailing = 1000)
    : m_snapshotEvery(aSnapshotEvery)
    , m_trailingEntries(aTrailing)
    , m_root(std::filesystem::temp_directory_path() /
             ("chivefront-group-" +
              std::to_string(
                std::chrono::steady_clock::now().time_since_epoch().count())))
  {
    for (const char* name : { "a", "b", "c" }) {
      Start(name);
    }
  }
  ~Cluster()
  {
    for (const char* name : { "a", "b", "c" }) {
      StopReplica(name);
    }
    std::filesystem::remove_all(m_root);
  }

  void Start(const std::string& aName)
  {
    consensus::GroupOptions options;
    options.m_name = aName;
    options.m_initialMembers = { "a", "b", "c" };
    options.m_folder = (m_root / aName).string();
    options.m_snapshotEvery = m_snapshotEvery;
    options.m_trailingEntries = m_trailingEntries;
    auto machine = std::make_unique<ListMachine>();
    auto group = std::make_shared<Group>(
      options,
      *machine,
      [this, aName](const std::string& aTo, std::string aPayload) {
        const std::lock_guard guard(m_lock);
        const auto found = m_groups.find(aTo);
        if (found != m_groups.end()) {
          found->second->Receive(aName, std::move(aPayload));
        }
      },
      [](const absl::Status& aStatus) { BOOST_ERROR(aStatus.ToString()); },
      m_events);
    BOOST_REQUIRE(group->Start().ok());
    const std::lock_guard guard(m_lock);
    m_groups[aName] = group;
    m_machines[aName] = std::move(machine);
  }

  void StopReplica(const std::string& aName)
  {
    std::shared_ptr<Group> group;
    {
      const std::lock_guard guard(m_lock);
      group = m_groups[aName];
      m_groups.erase(aName);
    }
    if (group) {
      group->Stop();
    }
  }

  void LoseDisk(const std::string& aName)
  {
    StopReplica(aName);
    std::filesystem::remove_all(m_root / aName);
    Start(aName);
  }

  // Waits for a condition that must become true. Fails after at least 30 s, so
  // that a test does not hang.
  template<typename Condition>
  void Await(Condition aCondition)
  {
    for (int i = 0; i < 3000 && !aCondition(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    BOOST_REQUIRE(aCondition());
  }

  std::string Leader()
  {
    std::string leader;
    Await([&] {
      const std::lock_guard guard(m_lock);
      for (const auto& [name, group] : m_groups) {
        if (group->IsLeader()) {
          leader = name;
        }
      }
      return !leader.empty();
    });
    return leader;
  }

  Group& GroupOf(const std::string& aName) { return *m_groups.at(aName); }
  ListMachine& Machine(const std::string& aName)
  {
    return *m_machines.at(aName);
  }

  // Proposes to the current leader until a command is accepted.
  std::string Propose(const std::string& aCommand)
  {
    for (;;) {
      std::promise<absl::StatusOr<std::string>> promise;
      GroupOf(Leader()).Propose(aCommand,
                                [&](absl::StatusOr<std::string> aResult) {
                                  promise.set_value(std::move(aResult));
                                });
      auto result = promise.get_future().get();
      if (result.ok()) {
        return *result;
      }
      BOOST_REQUIRE(
        (base::KindOf(result.status()) == base::ErrorKind::NotLeader));
    }
  }

private:
  const uint64_t m_snapshotEvery;
  const uint64_t m_trailingEntries;
  const std::filesystem::path m_root;
  base::EventLog m_events{ "test", "", 1000 };
  std::mutex m_lock;
  std::map<std::string, std::shared_ptr<Group>> m_groups;
  std::map<std::string, std::unique_ptr<ListMachine>> m_machines;
};

} // namespace

// Guards against an acknowledged command that is not applied on all replicas,
// or that is lost by a restart of all replicas.
BOOST_AUTO_TEST_CASE(CommandsReachAllReplicasAndSurviveRestart)
{
  Cluster cluster;
  BOOST_TEST(cluster.Propose("x") == "1");
  BOOST_TEST(cluster.Propose("y") == "2");
  for (const char* name : { "a", "b", "c" }) {
    cluster.Await([&] { return cluster.Machine(name).Text() == "x;y;"; });
  }
  for (const char* name : { "a", "b", "c" }) {
    cluster.StopReplica(name);
  }
  for (const char* name : { "a", "b", "c" }) {
    cluster.Start(name);
  }
  BOOST_TEST(cluster.Propose("z") == "3");
  for (const char* name : { "a", "b", "c" }) {
    cluster.Await([&] { return cluster.Machine(name).Text() == "x;y;z;"; });
  }
}

// Guards against a replica that stays without data after its disk was lost, and
// against a repair that is reported before the new replica holds all data.
// Snapshots are frequent, so that the new replica needs one.
BOOST_AUTO_TEST_CASE(LostDiskIsRepaired)
{
  Cluster cluster(/*aSnapshotEvery=*/50, /*aTrailing=*/5);
  std::string expected;
  for (int i = 0; i < 200; ++i) {
    cluster.Propose(std::to_string(i));
    expected += std::to_string(i) + ";";
  }
  const auto identities = [&] {
    std::map<std::string, uint64_t> found;
    for (const auto& replica :
         cluster.GroupOf(cluster.Leader()).Status().m_replicas) {
      found[replica.m_name] = replica.m_identity;
    }
    return found;
  };
  const auto repaired = [&] {
    return cluster.GroupOf(cluster.Leader()).Status().m_repaired;
  };
  cluster.Await(repaired);
  // Each replica in turn loses its disk right after a repair was reported.
  for (const char* name : { "a", "b", "c" }) {
    const uint64_t lost = identities()[name];
    cluster.LoseDisk(name);
    cluster.Await([&] { return repaired() && identities()[name] != lost; });
    BOOST_TEST(cluster.Machine(name).Text() == expected);
  }
  BOOST_TEST(cluster.Propose("z") == "201");
}

// Guards against a leadership transfer that never completes, so that a planned
// stop leaves the group without a leader until an election timeout.
BOOST_AUTO_TEST_CASE(LeadershipIsTransferred)
{
  Cluster cluster;
  cluster.Propose("x");
  const std::string first = cluster.Leader();
  cluster.Await([&] { return cluster.GroupOf(first).Status().m_repaired; });
  cluster.GroupOf(first).TransferLeadership();
  cluster.Await([&] { return !cluster.GroupOf(first).IsLeader(); });
  cluster.Await([&] { return cluster.Leader() != first; });
  BOOST_TEST(cluster.Propose("y") == "2");
}

// Guards against a follower that confirms its leadership, which would allow
// stale reads.
BOOST_AUTO_TEST_CASE(OnlyTheLeaderConfirms)
{
  Cluster cluster;
  cluster.Propose("x");
  std::map<std::string, absl::StatusOr<uint64_t>> answers;
  std::string leader;
  uint64_t term = 0;
  // Repeated if the leader changed in between.
  do {
    leader = cluster.Leader();
    term = cluster.GroupOf(leader).Status().m_term;
    answers.clear();
    for (const char* name : { "a", "b", "c" }) {
      std::promise<absl::StatusOr<uint64_t>> promise;
      cluster.GroupOf(name).ConfirmLeadership(
        [&](absl::StatusOr<uint64_t> aIndex) { promise.set_value(aIndex); });
      answers.emplace(name, promise.get_future().get());
    }
  } while (cluster.Leader() != leader ||
           cluster.GroupOf(leader).Status().m_term != term);
  for (const auto& [name, answer] : answers) {
    if (name == leader) {
      BOOST_TEST_REQUIRE(answer.ok());
      BOOST_TEST(*answer >= 2U); // the leader's first entry and the command
    } else {
      BOOST_TEST((base::KindOf(answer.status()) == base::ErrorKind::NotLeader));
    }
  }
}

// Guards against callbacks that are never called when a group stops.
BOOST_AUTO_TEST_CASE(StopAnswersPendingCallbacks)
{
  Cluster cluster;
  cluster.Propose("x");
  const std::string leader = cluster.Leader();
  for (const char* name : { "a", "b", "c" }) {
    if (name != leader) {
      cluster.StopReplica(name);
    }
  }
  std::promise<absl::Status> promise;
  cluster.GroupOf(leader).Propose("y",
                                  [&](absl::StatusOr<std::string> aResult) {
                                    promise.set_value(aResult.status());
                                  });
  cluster.GroupOf(leader).Stop();
  const absl::Status status = promise.get_future().get();
  BOOST_TEST((base::KindOf(status) == base::ErrorKind::Unavailable ||
              base::KindOf(status) == base::ErrorKind::NotLeader));
}

// Guards against a group that continues, or reports success, after a write to
// its log failed. Each write creates a new segment, so it fails once the folder
// is removed.
BOOST_AUTO_TEST_CASE(FailedWriteIsFatalOnce)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("chivefront-fatal-" + std::to_string(::getpid()));
  consensus::GroupOptions options;
  options.m_name = "a";
  options.m_initialMembers = { "a" };
  options.m_folder = folder.string();
  options.m_segmentBytes = 1;
  ListMachine machine;
  base::EventLog events("test", "", 10);
  std::atomic<int> fatal{ 0 };
  Group group(
    options,
    machine,
    [](const std::string&, std::string) {},
    [&](const absl::Status& aStatus) {
      BOOST_TEST((base::KindOf(aStatus) == base::ErrorKind::StorageFailed));
      ++fatal;
    },
    events);
  BOOST_REQUIRE(group.Start().ok());
  while (!group.IsLeader()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const auto propose = [&] {
    std::promise<absl::Status> promise;
    group.Propose("x", [&](absl::StatusOr<std::string> aResult) {
      promise.set_value(aResult.status());
    });
    return base::KindOf(promise.get_future().get());
  };
  BOOST_TEST((propose() == base::ErrorKind::None));
  std::filesystem::remove_all(folder);
  BOOST_TEST((propose() == base::ErrorKind::Unavailable));
  BOOST_TEST((propose() == base::ErrorKind::NotLeader));
  BOOST_TEST(!group.IsLeader());
  group.Stop();
  BOOST_TEST(fatal == 1);
  BOOST_TEST(machine.Text() == "x;");
}
