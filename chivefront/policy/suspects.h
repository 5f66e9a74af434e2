// Counts the upstream losses that each request was part of, so that a request
// that crashes upstreams is found and innocent ones are not blamed.
//
//   auto outcome = suspects.OnLoss(lossId, fingerprints);
//   for (uint64_t f : outcome.m_quarantined) ... propose quarantine/<f> ...
//
// Deterministic: equal calls in equal order give equal state on every replica
// of a ledger group. Holds no time. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivefront::policy {

// Losses after which a fingerprint is quarantined everywhere.
inline constexpr uint32_t kQuarantineLosses = 3;

enum class SuspectRule
{
  // When one in flight was suspect already, only those with the highest count
  // gain. A second crashing request is not noticed beside an innocent suspect;
  // see docs/decisions/suspects.md.
  HighestOnly,
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
    // Fingerprint and its count after this loss, for those that gained.
    std::vector<std::pair<uint64_t, uint32_t>> m_suspects;
    std::vector<uint64_t> m_quarantined; // reached the limit by this loss
  };

  // The whole state, for snapshots of the ledger.
  struct State
  {
    std::vector<std::pair<uint64_t, uint32_t>> m_counts; // oldest first
    std::vector<std::string> m_lossIds;                  // oldest first
  };

  // aFingerprints were in flight on the lost upstream; they gain by the rule.
  // A loss id that was seen before changes nothing.
  Loss OnLoss(const std::string& aLossId,
              const std::vector<uint64_t>& aFingerprints);
  // The request completed.
  void Clear(uint64_t aFingerprint);

  uint32_t Losses(uint64_t aFingerprint) const;
  size_t Size() const { return m_counts.size(); }

  State Save() const;
  // Replaces counts and loss ids; the rule stays.
  void Load(const State& aState);

private:
  struct Count
  {
    uint32_t m_losses = 0;
    uint64_t m_touched = 0;
  };

  void Set(uint64_t aFingerprint, uint32_t aLosses);

  SuspectRule m_rule;
  std::map<uint64_t, Count> m_counts;
  std::map<uint64_t, uint64_t> m_byTouch; // touch number to fingerprint
  uint64_t m_touches = 0;
  std::set<std::string> m_lossIds;
  std::deque<std::string> m_lossOrder;
};

} // namespace chivefront::policy
