// Measures commits per second and the start-up time of three replicas in one
// process, with real files.
//
//   consensus_bench FOLDER
//
// FOLDER must not exist. The program creates it and removes it at the end.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "chivefront/base/log.h"
#include "chivefront/consensus/group.h"

using namespace chivefront;
using consensus::Group;

namespace {

constexpr uint32_t kCallers = 64;
constexpr uint64_t kUnbounded = 1ULL << 40;
const std::string kCommand(100, 'x');

using Clock = std::chrono::steady_clock;

double
MillisSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

// Counts commands.
class CountMachine final : public consensus::StateMachine
{
public:
  std::string Apply(uint64_t, std::string_view) override
  {
    ++m_count;
    return "";
  }
  std::string TakeSnapshot() const override
  {
    return std::to_string(m_count.load());
  }
  absl::Status Restore(std::string_view aSnapshot) override
  {
    m_count = std::stoull(std::string(aSnapshot));
    return absl::OkStatus();
  }
  uint64_t Count() const { return m_count; }

private:
  std::atomic<uint64_t> m_count{ 0 };
};

class Cluster
{
public:
  Cluster(std::filesystem::path aRoot,
          uint64_t aMaxBatch,
          uint64_t aSnapshotEvery)
    : m_root(std::move(aRoot))
    , m_maxBatch(aMaxBatch)
    , m_snapshotEvery(aSnapshotEvery)
  {
    Start();
  }
  ~Cluster()
  {
    Stop();
    std::filesystem::remove_all(m_root);
  }

  void Start()
  {
    for (const char* name : { "a", "b", "c" }) {
      consensus::GroupOptions options;
      options.m_name = name;
      options.m_initialMembers = { "a", "b", "c" };
      options.m_folder = (m_root / name).string();
      options.m_maxBatch = m_maxBatch;
      options.m_snapshotEvery = m_snapshotEvery;
      m_machines[name] = std::make_unique<CountMachine>();
      auto group = std::make_shared<Group>(
        options,
        *m_machines[name],
        [this, name](const std::string& aTo, std::string aPayload) {
          const std::lock_guard guard(m_lock);
          const auto found = m_groups.find(aTo);
          if (found != m_groups.end()) {
            found->second->Receive(name, std::move(aPayload));
          }
        },
        [](const absl::Status& aStatus) {
          std::fprintf(stderr, "%s\n", aStatus.ToString().c_str());
        },
        m_events);
      if (!group->Start().ok()) {
        std::fprintf(stderr, "a replica can't be started\n");
        std::exit(1);
      }
      const std::lock_guard guard(m_lock);
      m_groups[name] = std::move(group);
    }
  }
  void Stop()
  {
    std::map<std::string, std::shared_ptr<Group>> groups;
    {
      const std::lock_guard guard(m_lock);
      groups.swap(m_groups);
    }
    for (auto& [name, group] : groups) {
      group->Stop();
    }
  }
  Group& Leader()
  {
    for (;;) {
      for (auto& [name, group] : m_groups) {
        if (group->IsLeader()) {
          return *group;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  // Proposes a command and waits for its result. Returns whether it succeeded.
  bool Commit()
  {
    std::promise<bool> done;
    Leader().Propose(kCommand, [&](absl::StatusOr<std::string> aResult) {
      done.set_value(aResult.ok());
    });
    return done.get_future().get();
  }
  // Commits aCount commands with kCallers closed-loop callers. Returns the time
  // in milliseconds.
  double CommitMany(uint64_t aCount)
  {
    while (!Commit()) {
    }
    std::atomic<int64_t> remaining(static_cast<int64_t>(aCount));
    const auto start = Clock::now();
    std::vector<std::thread> callers;
    for (uint32_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        while (remaining.fetch_sub(1) > 0) {
          Commit();
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return MillisSince(start);
  }
  uint64_t Applied() { return m_machines["a"]->Count(); }

private:
  const std::filesystem::path m_root;
  const uint64_t m_maxBatch;
  const uint64_t m_snapshotEvery;
  base::EventLog m_events{ "bench", "", 100 };
  std::mutex m_lock;
  std::map<std::string, std::unique_ptr<CountMachine>> m_machines;
  std::map<std::string, std::shared_ptr<Group>> m_groups;
};

void
MeasureCommits(const std::filesystem::path& aRoot,
               uint64_t aMaxBatch,
               uint64_t aCount)
{
  Cluster cluster(aRoot, aMaxBatch, kUnbounded);
  const double millis = cluster.CommitMany(aCount);
  std::printf("commits/s, %s: %.0f\n",
              aMaxBatch == 0 ? "group commit" : "one call per sync",
              static_cast<double>(aCount) * 1000 / millis);
}

// Measures the time that three replicas take to read their folders, and the
// time until they commit a new command after a start.
void
MeasureStart(const std::filesystem::path& aRoot,
             uint64_t aCount,
             uint64_t aSnapshotEvery)
{
  Cluster cluster(aRoot, 0, aSnapshotEvery);
  cluster.CommitMany(aCount);
  cluster.Stop();
  const auto start = Clock::now();
  cluster.Start();
  const double read = MillisSince(start);
  while (!cluster.Commit()) {
  }
  std::printf("start after %llu commands, snapshot every %llu: folders read "
              "%.0f ms, first commit %.0f ms\n",
              static_cast<unsigned long long>(aCount),
              static_cast<unsigned long long>(aSnapshotEvery),
              read,
              MillisSince(start));
}

} // namespace

int
main(int argc, char** argv)
{
  constexpr uint64_t kDefaultSnapshots = 10000;
  if (argc != 2 || std::filesystem::exists(argv[1])) {
    std::fprintf(stderr, "usage: consensus_bench NEW-FOLDER\n");
    return 2;
  }
  base::InitLogging(base::Severity::Error);
  const std::filesystem::path root(argv[1]);
  MeasureCommits(root / "batched", 0, 50000);
  MeasureCommits(root / "single", 1, 3000);
  MeasureStart(root / "small", 500, kDefaultSnapshots);
  MeasureStart(root / "large", 50000, kDefaultSnapshots);
  MeasureStart(root / "unsnapshotted", 50000, kUnbounded);
  std::filesystem::remove_all(root);
  return 0;
}
