// Case suspects: some requests crash every upstream that runs them, and their
// callers send them again. Upstreams are also lost at random. Harmless
// requests must never be quarantined.
#include "bench/cases.h"

#include <array>
#include <deque>
#include <random>
#include <set>

#include "chivefront/policy/suspects.h"

namespace chivefront::bench {
namespace {

using policy::SuspectCounts;

constexpr size_t kUpstreams = 12;
constexpr size_t kMaxRunning = 8;
constexpr int kSteps = 40000; // one step is 50 ms; the run takes 33 minutes
constexpr int kRunSteps = 20; // a request takes about a second
constexpr int kRestartSteps = 100;
constexpr int kCrashSteps = 4; // a crashing request is fatal after 200 ms
constexpr uint64_t kFirstHarmlessId = 1000;

struct Running
{
  uint64_t m_fingerprint = 0;
  int m_stepsLeft = 0;
};

struct Variant
{
  const char* m_name;
  uint64_t m_crashing;      // requests that crash their upstream
  double m_lossPerStep;     // probability that an upstream is lost in a step
  double m_domainPerStep;   // probability that a third of them are lost at once
  bool m_countsAllInFlight; // a loss counts against every request in flight
  bool m_runsSuspectsAlone = false; // suspects run alone at their upstream
};

// The random losses are at least about 50 times as frequent as those at the
// size that the system is designed for.
constexpr std::array<Variant, 9> kVariants{ {
  { "one killer", 1, 0, 0, false },
  { "three killers", 3, 0, 0, false },
  { "3, domain losses", 3, 1e-4, 5e-4, false },
  { "200 killers", 200, 0, 0, false },
  { "200, domain losses", 200, 1e-4, 5e-4, false },
  { "200, all in flight count", 200, 0, 0, true },
  { "200 + domain, all count", 200, 1e-4, 5e-4, true },
  { "200, suspects alone", 200, 0, 0, false, true },
  { "200 + domain, alone", 200, 1e-4, 5e-4, false, true },
} };

struct Outcome
{
  double m_harmless = 0;
  double m_crashing = 0;
  double m_losses = 0;
  double m_completed = 0;
};

class Model
{
public:
  Model(const Variant& aVariant, uint64_t aSeed)
    : m_variant(aVariant)
    , m_random(aSeed)
    , m_suspects(aVariant.m_countsAllInFlight
                   ? policy::SuspectRule::AllInFlight
                   : policy::SuspectRule::HighestOnly)
  {
  }

  Outcome Run()
  {
    uint64_t crashing = 0;
    for (int step = 0; step < kSteps; ++step) {
      // More than three crashing requests arrive in bursts of three, spread
      // over the run.
      const uint64_t due = m_variant.m_crashing * (step + 1) / kSteps / 3 * 3;
      const uint64_t wanted =
        m_variant.m_crashing <= 3 ? m_variant.m_crashing : due;
      while (crashing < wanted) {
        m_waiting.push_back(++crashing);
      }
      while (m_waiting.size() < kUpstreams) {
        m_waiting.push_back(++m_lastHarmlessId);
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
    std::deque<uint64_t> stillWaiting;
    while (!m_waiting.empty()) {
      const uint64_t fingerprint = m_waiting.front();
      m_waiting.pop_front();
      if (m_quarantined.count(fingerprint) > 0) {
        continue;
      }
      const bool suspect = Losses(fingerprint) > 0;
      Upstream& upstream = m_upstreams[m_random() % kUpstreams];
      bool suspectRuns = false;
      for (const Running& running : upstream.m_running) {
        suspectRuns = suspectRuns || Losses(running.m_fingerprint) > 0;
      }
      const bool mustWaitAlone =
        m_variant.m_runsSuspectsAlone &&
        (suspectRuns || (suspect && !upstream.m_running.empty()));
      if (aStep < upstream.m_downUntil ||
          upstream.m_running.size() >= kMaxRunning ||
          (suspect && suspectRuns) || mustWaitAlone) {
        stillWaiting.push_back(fingerprint);
        continue;
      }
      const int length = fingerprint < kFirstHarmlessId
                           ? kCrashSteps
                           : 1 + static_cast<int>(m_random() % (2 * kRunSteps));
      upstream.m_running.push_back({ fingerprint, length });
    }
    m_waiting = std::move(stillWaiting);
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
        lost = (--running.m_stepsLeft <= 0 &&
                running.m_fingerprint < kFirstHarmlessId) ||
               lost;
      }
      if (lost) {
        LoseUpstream(upstream, aStep);
        continue;
      }
      std::erase_if(upstream.m_running, [&](const Running& aRunning) {
        if (aRunning.m_stepsLeft <= 0) {
          m_suspects.Clear(aRunning.m_fingerprint);
          m_outcome.m_completed += 1;
        }
        return aRunning.m_stepsLeft <= 0;
      });
    }
  }

  uint32_t Losses(uint64_t aFingerprint) const
  {
    return m_suspects.Losses(aFingerprint);
  }

  void LoseUpstream(Upstream& aUpstream, int aStep)
  {
    std::vector<uint64_t> lost;
    for (const Running& running : aUpstream.m_running) {
      lost.push_back(running.m_fingerprint);
      m_waiting.push_back(running.m_fingerprint); // sent again
    }
    aUpstream.m_running.clear();
    aUpstream.m_downUntil = aStep + kRestartSteps;
    m_outcome.m_losses += 1;
    const auto quarantined =
      m_suspects.OnLoss(std::to_string(m_outcome.m_losses), lost).m_quarantined;
    for (const uint64_t fingerprint : quarantined) {
      m_quarantined.insert(fingerprint);
      ++(fingerprint < kFirstHarmlessId ? m_outcome.m_crashing
                                        : m_outcome.m_harmless);
    }
  }

  const Variant m_variant;
  std::mt19937_64 m_random;
  SuspectCounts m_suspects;
  std::set<uint64_t> m_quarantined;
  std::deque<uint64_t> m_waiting;
  std::array<Upstream, kUpstreams> m_upstreams;
  uint64_t m_lastHarmlessId = kFirstHarmlessId;
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
          outcome.m_harmless,
          Goal{ GoalKind::AtMost, 0 });
      add("killers quarantined", outcome.m_crashing);
      add("upstreams lost", outcome.m_losses);
      add("requests completed", outcome.m_completed);
    }
  }
}

} // namespace chivefront::bench
