// Pins of sessions to versions.
//
// A pin is committed in the ledger before the first dispatch of its session.
// The first commit wins, and a committed pin does not change while the ledger
// keeps it. The ledger drops a pin that was not committed again for 7 days, so
// a cached pin is committed again once it is older than kPinRenewalInterval.
#pragma once

#include <array>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "chivefront/entry/components.h"

namespace chivefront::entry {

// Far below the ledger's retention, so a session in use never loses its pin.
inline constexpr base::Millis kPinRenewalInterval{ 24LL * 3600 * 1000 };

// Bounded cache of committed pins; the oldest are dropped first. Thread-safe.
class PinCache
{
public:
  explicit PinCache(size_t aMaxPins)
    : m_maxPerShard(aMaxPins / kShards + 1)
  {
  }

  // The pinned version; nothing when there is no pin or when it has to be
  // committed again.
  std::optional<std::string> Find(const std::string& aKey,
                                  base::TimePoint aNow) const;
  // Records that a pin was committed at aNow. The version of an existing pin
  // does not change.
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
    std::deque<std::string> m_order; // the keys of m_pins, oldest first
  };

  size_t ShardIndexOf(const std::string& aKey) const;

  const size_t m_maxPerShard;
  std::array<Shard, kShards> m_shards;
};

// The version for a request without a pin. aHash selects between the old and
// the new version of a roll-out. If that version is withdrawn, another version
// of the model that new requests may use is returned. Errors: UnknownModel, and
// those of catalog::CheckVersionAllowed.
absl::StatusOr<std::string>
ProposeVersion(const catalog::Catalog& aCatalog,
               const std::string& aTeam,
               const std::string& aModel,
               uint64_t aHash);

// Checks that a session may go on with its pinned version. Errors: NotAllowed
// and VersionWithdrawn as in catalog::CheckVersionAllowed; Conflict when aModel
// is not empty and is not the model of the pinned version.
absl::Status
CheckPinned(const catalog::Catalog& aCatalog,
            const std::string& aTeam,
            const std::string& aVersion,
            const std::string& aModel);

class SessionPins
{
public:
  explicit SessionPins(EntryComponents& aComponents);

  // Returns the version to which the session is pinned; commits aProposed if it
  // has no pin. Unavailable when the ledger did not confirm in time; nothing
  // may be dispatched then. aProposed may be empty only if the pin is cached.
  net::Task<absl::StatusOr<std::string>> Pin(std::string aTeam,
                                             std::string aSession,
                                             std::string aProposed,
                                             base::TimePoint aDeadline);
  // The pinned version by the cache alone.
  std::optional<std::string> CachedVersion(const std::string& aTeam,
                                           const std::string& aSession) const;

private:
  EntryComponents& m_components;
  PinCache m_cache;
};

} // namespace chivefront::entry
