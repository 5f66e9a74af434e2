// Which version a session is pinned to.
//
// A pin is committed in the ledger before the first dispatch of its session;
// the first commit wins, and a committed pin never changes while it is kept.
// The ledger forgets pins that nobody committed again for 7 days, so a cached
// pin is committed again once it is older than kPinRenewalInterval.
#pragma once

#include <array>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "chivefront/entry/components.h"

namespace chivefront::entry {

// Far below the ledger's retention: a session in use never loses its pin.
inline constexpr base::Millis kPinRenewalInterval{ 24LL * 3600 * 1000 };

// Committed pins; the oldest are forgotten first. Thread-safe.
class PinCache
{
public:
  explicit PinCache(size_t aMaxPins)
    : m_maxPerShard(aMaxPins / kShards + 1)
  {
  }

  // Nothing when there is no pin or it has to be committed again.
  std::optional<std::string> Find(const std::string& aKey,
                                  base::TimePoint aNow) const;
  // Notes that a pin was committed at aNow. The first version stays.
  void Insert(const std::string& aKey,
              const std::string& aVersion,
              base::TimePoint aNow);

private:
  static constexpr size_t kShards = 16;
  struct Pin
  {
    std::string m_version;
    base::TimePoint m_committed;
  };
  struct Shard
  {
    mutable std::mutex m_lock;
    std::unordered_map<std::string, Pin> m_pins;
    std::deque<std::string> m_order; // keys of m_pins, oldest first
  };

  size_t ShardIndexOf(const std::string& aKey) const;

  const size_t m_maxPerShard;
  std::array<Shard, kShards> m_shards;
};

// The version that a request without a pin gets, now: the roll-out's choice
// for aHash, or another version of the model that new work may use when that
// one is withdrawn. Errors as catalog::CheckVersionAllowed, or UnknownModel.
absl::StatusOr<std::string>
ProposeVersion(const catalog::Catalog& aCatalog,
               const std::string& aTeam,
               const std::string& aModel,
               uint64_t aHash);

// Whether a pinned session may go on: NotAllowed and VersionWithdrawn as
// catalog::CheckVersionAllowed; Conflict when aModel, if given, is not the
// model of the pinned version.
absl::Status
CheckPinned(const catalog::Catalog& aCatalog,
            const std::string& aTeam,
            const std::string& aVersion,
            const std::string& aModel);

class SessionPins
{
public:
  explicit SessionPins(EntryComponents& aComponents);

  // The version the session is pinned to, after committing aProposed when it
  // had none. Unavailable when the ledger did not confirm in time; nothing may
  // be dispatched then. An empty aProposed only looks into the cache.
  net::Task<absl::StatusOr<std::string>> Pin(std::string aTeam,
                                             std::string aSession,
                                             std::string aProposed,
                                             base::TimePoint aDeadline);
  std::optional<std::string> CachedVersion(const std::string& aTeam,
                                           const std::string& aSession) const;

private:
  EntryComponents& m_components;
  PinCache m_cache;
};

} // namespace chivefront::entry
