// Counts for each request the upstream losses during which it was in flight, in
// order to find requests that crash upstreams without blaming the requests that
// ran beside them.
//
//   auto outcome = suspects.OnLoss(lossId, fingerprints);
//   for (uint64_t f : outcome.m_quarantined) ... propose quarantine/<f> ...
//
// Deterministic: the same calls in the same order give the same state on every
// replica of a ledger group. Uses no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivefront::policy {

// Number of losses at which a fingerprint is quarantined on all entries.
inline constexpr uint32_t kQuarantineLosses = 3;

enum class SuspectRule
{
  // Only the requests in flight that had the highest count are counted. This
  // rule misses a second crashing request that runs beside an innocent suspect;
  // see docs/decisions/suspects.md.
  HighestOnly,
  // All requests in flight are counted.
  AllInFlight,
};

class SuspectCounts
{
public:
  explicit SuspectCounts(SuspectRule aRule = SuspectRule::AllInFlight)
    : m_rule(aRule)
  {
  }

  struct Loss
  {
    // Counted fingerprints, each with its count after this loss.
    std::vector<std::pair<uint64_t, uint32_t>> m_suspects;
    std::vector<uint64_t> m_quarantined; // reached the limit with this loss
  };

  // The whole state, for snapshots of the ledger.
  struct State
  {
    // Both oldest first; the counts by their last change.
    std::vector<std::pair<uint64_t, uint32_t>> m_counts;
    std::vector<std::string> m_lossIds;
  };

  // aFingerprints were in flight on the lost upstream; the rule selects those
  // that are counted. A repeated loss id has no effect.
  Loss OnLoss(const std::string& aLossId,
              const std::vector<uint64_t>& aFingerprints);
  // The request has completed; removes its count.
  void Clear(uint64_t aFingerprint);

  uint32_t Losses(uint64_t aFingerprint) const;
  size_t Size() const { return m_counts.size(); }

  State Save() const;
  // Replaces counts and loss ids; the rule is unchanged.
  void Load(const State& aState);

private:
  struct Count
  {
    uint32_t m_losses = 0;
    uint64_t m_lastChange = 0; // key in m_byLastChange; 0 for none
  };

  void Set(uint64_t aFingerprint, uint32_t aLosses);

  SuspectRule m_rule;
  std::map<uint64_t, Count> m_counts;
  std::map<uint64_t, uint64_t> m_byLastChange; // change number to fingerprint
  uint64_t m_changes = 0;
  std::set<std::string> m_lossIds;
  std::deque<std::string> m_lossOrder; // the same ids, oldest first
};

} // namespace chivefront::policy
