// Case suspects: some requests crash every upstream that runs them and are
// sent again by their callers; upstreams are also lost by chance. Innocent
// requests must never be quarantined.
#include "bench/cases.h"

#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "chivefront/policy/suspects.h"

namespace chivefront::bench {
namespace {

using policy::SuspectCounts;

constexpr size_t kUpstreams = 12;
constexpr size_t kLimit = 8;
constexpr int kSteps = 40000; // of 50 ms: 33 minutes
constexpr int kRunSteps = 20; // a request takes about a second
constexpr int kRestartSteps = 100;
constexpr int kCrashSteps = 4; // a crashing request is fatal after 200 ms
constexpr uint64_t kFirstInnocent = 1000;

struct Running
{
  uint64_t m_fingerprint = 0;
  int m_left = 0;
};

struct Variant
{
  const char* m_name;
  uint64_t m_killers;
  double m_lossPerStep;   // chance losses per upstream
  double m_domainPerStep; // chance losses of a third of all upstreams at once
  bool m_everyone;        // a loss counts against all in flight; a baseline
};

// Chance losses are about 50 times those of the design size, or more.
constexpr std::array<Variant, 7> kVariants{ {
  { "one killer", 1, 0, 0, false },
  { "three killers", 3, 0, 0, false },
  { "three, chance losses", 3, 1e-4, 0, false },
  { "three, domain losses", 3, 1e-4, 5e-4, false },
  { "30 killers, domain losses", 30, 1e-4, 5e-4, false },
  { "3: all in flight count", 3, 1e-4, 5e-4, true },
  { "30: all in flight count", 30, 1e-4, 5e-4, true },
} };

struct Outcome
{
  double m_innocent = 0;
  double m_killers = 0;
  double m_losses = 0;
};

class Model
{
public:
  Model(const Variant& aVariant, uint64_t aSeed)
    : m_variant(aVariant)
    , m_random(aSeed)
  {
  }

  Outcome Run()
  {
    for (uint64_t killer = 1; killer <= m_variant.m_killers; ++killer) {
      m_waiting.push_back(killer);
    }
    for (int step = 0; step < kSteps; ++step) {
      while (m_waiting.size() < kUpstreams) {
        m_waiting.push_back(++m_fresh);
      }
      Dispatch(step);
      Advance(step);
    }
    return m_outcome;
  }

private:
  struct Upstream
  {
    std::vector<Running> m_running;
    int m_downUntil = 0;
  };

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < aShare;
  }

  void Dispatch(int aStep)
  {
    std::deque<uint64_t> left;
    while (!m_waiting.empty()) {
      const uint64_t fingerprint = m_waiting.front();
      m_waiting.pop_front();
      if (m_quarantined.count(fingerprint) > 0) {
        continue;
      }
      const bool suspect = Losses(fingerprint) > 0;
      Upstream& upstream = m_upstreams[m_random() % kUpstreams];
      bool other = false;
      for (const Running& running : upstream.m_running) {
        other = other || Losses(running.m_fingerprint) > 0;
      }
      if (aStep < upstream.m_downUntil || upstream.m_running.size() >= kLimit ||
          (suspect && other)) {
        left.push_back(fingerprint);
        continue;
      }
      const int length = fingerprint < kFirstInnocent
                           ? kCrashSteps
                           : 1 + static_cast<int>(m_random() % (2 * kRunSteps));
      upstream.m_running.push_back({ fingerprint, length });
    }
    m_waiting = std::move(left);
  }

  void Advance(int aStep)
  {
    const bool domain = Chance(m_variant.m_domainPerStep);
    for (size_t i = 0; i < kUpstreams; ++i) {
      Upstream& upstream = m_upstreams[i];
      if (aStep < upstream.m_downUntil) {
        continue;
      }
      bool lost = Chance(m_variant.m_lossPerStep) || (domain && i % 3 == 0);
      for (Running& running : upstream.m_running) {
        lost =
          (--running.m_left <= 0 && running.m_fingerprint < kFirstInnocent) ||
          lost;
      }
      if (lost) {
        Lose(upstream, aStep);
        continue;
      }
      std::erase_if(upstream.m_running, [&](const Running& aRunning) {
        if (aRunning.m_left <= 0) {
          m_suspects.Clear(aRunning.m_fingerprint);
          m_counts.erase(aRunning.m_fingerprint);
        }
        return aRunning.m_left <= 0;
      });
    }
  }

  uint32_t Losses(uint64_t aFingerprint) const
  {
    if (!m_variant.m_everyone) {
      return m_suspects.Losses(aFingerprint);
    }
    const auto found = m_counts.find(aFingerprint);
    return found == m_counts.end() ? 0 : found->second;
  }

  void Lose(Upstream& aUpstream, int aStep)
  {
    std::vector<uint64_t> lost;
    for (const Running& running : aUpstream.m_running) {
      lost.push_back(running.m_fingerprint);
      m_waiting.push_back(running.m_fingerprint); // sent again
    }
    aUpstream.m_running.clear();
    aUpstream.m_downUntil = aStep + kRestartSteps;
    m_outcome.m_losses += 1;
    std::vector<uint64_t> condemned;
    if (m_variant.m_everyone) {
      for (const uint64_t fingerprint : lost) {
        if (++m_counts[fingerprint] == policy::kQuarantineLosses) {
          condemned.push_back(fingerprint);
        }
      }
    } else {
      condemned = m_suspects.OnLoss(std::to_string(m_outcome.m_losses), lost)
                    .m_quarantined;
    }
    for (const uint64_t fingerprint : condemned) {
      m_quarantined.insert(fingerprint);
      ++(fingerprint < kFirstInnocent ? m_outcome.m_killers
                                      : m_outcome.m_innocent);
    }
  }

  const Variant m_variant;
  std::mt19937_64 m_random;
  SuspectCounts m_suspects;
  std::map<uint64_t, uint32_t> m_counts; // of the baseline
  std::set<uint64_t> m_quarantined;
  std::deque<uint64_t> m_waiting;
  std::array<Upstream, kUpstreams> m_upstreams;
  uint64_t m_fresh = kFirstInnocent;
  Outcome m_outcome;
};

} // namespace

void
RunSuspects(const Seeds& aSeeds, Report& aReport)
{
  for (const Variant& variant : kVariants) {
    for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
      const Outcome outcome = Model(variant, aSeeds.m_first + i).Run();
      const auto add = [&](const char* aName,
                           double aValue,
                           std::optional<Goal> aGoal = std::nullopt) {
        aReport.Add("suspects", variant.m_name, aName, aValue, aGoal);
      };
      add("innocents quarantined",
          outcome.m_innocent,
          variant.m_everyone ? std::nullopt
                             : std::optional<Goal>({ Better::AtMost, 0 }));
      add("killers quarantined", outcome.m_killers);
      add("upstreams lost", outcome.m_losses);
    }
  }
}

} // namespace chivefront::bench
