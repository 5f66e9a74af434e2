// Slopes of commits: three replicas of one group in this process, with logs
// on disk.
#include "bench/slopes/cases.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "chivefront/consensus/group.h"

namespace chivefront::bench {
namespace {

class EmptyStateMachine final : public consensus::StateMachine
{
public:
  std::string Apply(uint64_t, std::string_view) override { return "ok"; }
  std::string TakeSnapshot() const override { return "snapshot"; }
  absl::Status Restore(std::string_view) override { return absl::OkStatus(); }
};

class Replicas
{
public:
  explicit Replicas(const std::string& aFolder)
  {
    for (const std::string name : { "a", "b", "c" }) {
      consensus::GroupOptions options;
      options.m_name = name;
      options.m_initialMembers = { "a", "b", "c" };
      options.m_folder = aFolder + "/" + name;
      auto group = std::make_shared<consensus::Group>(
        options,
        m_machine,
        [this, name](const std::string& aTo, std::string aPayload) {
          if (const auto target = Find(aTo)) {
            target->Receive(name, std::move(aPayload));
          }
        },
        [](const absl::Status&) {},
        m_events);
      const std::lock_guard lock(m_lock);
      m_groups[name] = group;
    }
    for (const auto& [name, group] : m_groups) {
      (void)group->Start();
    }
  }
  ~Replicas()
  {
    for (const auto& [name, group] : m_groups) {
      group->Stop();
    }
  }

  std::shared_ptr<consensus::Group> Leader()
  {
    while (true) {
      for (const auto& [name, group] : m_groups) {
        if (group->IsLeader()) {
          return group;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

private:
  std::shared_ptr<consensus::Group> Find(const std::string& aName)
  {
    const std::lock_guard lock(m_lock);
    const auto found = m_groups.find(aName);
    return found == m_groups.end() ? nullptr : found->second;
  }

  EmptyStateMachine m_machine;
  base::EventLog m_events{ "slopes", "", 16 };
  std::mutex m_lock;
  std::map<std::string, std::shared_ptr<consensus::Group>> m_groups;
};

// Proposes aCount commands, at most aWindow of them in flight at a time.
void
Commit(consensus::Group& aGroup, size_t aCount, size_t aWindow)
{
  std::mutex lock;
  std::condition_variable wake;
  size_t done = 0;
  for (size_t sent = 0; sent < aCount; ++sent) {
    std::unique_lock guard(lock);
    wake.wait(guard, [&] { return sent - done < aWindow; });
    guard.unlock();
    aGroup.Propose(std::string(300, 'c'), [&](absl::StatusOr<std::string>) {
      const std::lock_guard inner(lock);
      ++done;
      wake.notify_one();
    });
  }
  std::unique_lock guard(lock);
  wake.wait(guard, [&] { return done == aCount; });
}

} // namespace

std::vector<Slope>
MeasureCommits(double aScale, const std::string& aFolder)
{
  Replicas replicas(aFolder);
  const auto leader = replicas.Leader();
  std::vector<Slope> slopes;
  for (const size_t window : { 1, 64 }) {
    const std::string suffix = "." + std::to_string(window);
    Slope cpu{ "commit.cpu" + suffix, "us per commit, 3 replicas", {}, {} };
    Slope wall{ "commit.wall" + suffix, "us per commit", {}, {} };
    for (const double wanted : { 1000.0, 4000.0, 16000.0 }) {
      const double factor = window == 1 ? 0.1 : 1.0;
      const auto count =
        std::max<size_t>(10, static_cast<size_t>(wanted * factor * aScale));
      const double cpuStart = ProcessCpuMicros();
      const auto start = std::chrono::steady_clock::now();
      Commit(*leader, count, window);
      const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - start;
      const double size = static_cast<double>(count);
      cpu.m_points.push_back({ size, ProcessCpuMicros() - cpuStart });
      wall.m_points.push_back({ size, took.count() });
    }
    for (Slope* slope : { &cpu, &wall }) {
      slope->m_line = Fit(slope->m_points);
      slopes.push_back(*slope);
    }
  }
  return slopes;
}

} // namespace chivefront::bench
