// Session pins: cache, choice of the version, commit in the ledger.
#include "chivefront/entry/sessions.h"

#include "chivefront/base/errors.h"

namespace chivefront::entry {
namespace detail {

// Bounds the cache to about 20 MB at about 100 bytes per pin.
constexpr size_t kMaxPins = 200000;

std::string
PinKey(const std::string& aTeam, const std::string& aSession)
{
  return aTeam + "/" + aSession;
}

} // namespace detail

size_t
PinCache::ShardIndexOf(const std::string& aKey) const
{
  return std::hash<std::string>()(aKey) % kShards;
}

std::optional<std::string>
PinCache::Find(const std::string& aKey, base::TimePoint aNow) const
{
  const Shard& shard = m_shards[ShardIndexOf(aKey)];
  const std::lock_guard lock(shard.m_lock);
  const auto found = shard.m_pins.find(aKey);
  if (found == shard.m_pins.end() ||
      aNow - found->second.m_committed > kPinRenewalInterval) {
    return std::nullopt;
  }
  return found->second.m_version;
}

void
PinCache::Insert(const std::string& aKey,
                 const std::string& aVersion,
                 base::TimePoint aNow)
{
  Shard& shard = m_shards[ShardIndexOf(aKey)];
  const std::lock_guard lock(shard.m_lock);
  const auto [pin, added] = shard.m_pins.emplace(aKey, Pin{ aVersion, aNow });
  if (!added) {
    pin->second.m_committed = aNow;
    return;
  }
  shard.m_order.push_back(aKey);
  if (shard.m_order.size() > m_maxPerShard) {
    shard.m_pins.erase(shard.m_order.front());
    shard.m_order.pop_front();
  }
}

absl::StatusOr<std::string>
ProposeVersion(const catalog::Catalog& aCatalog,
               const std::string& aTeam,
               const std::string& aModel,
               uint64_t aHash)
{
  const std::string chosen =
    catalog::VersionForSession(aCatalog, aModel, aHash);
  if (chosen.empty()) {
    return base::MakeError(base::ErrorKind::UnknownModel,
                           "no model '" + aModel + "'");
  }
  const absl::Status allowed =
    catalog::CheckVersionAllowed(aCatalog, aTeam, chosen);
  if (base::KindOf(allowed) != base::ErrorKind::VersionWithdrawn) {
    if (!allowed.ok()) {
      return allowed;
    }
    return chosen;
  }
  std::vector<std::string> others{ aCatalog.FindModel(aModel)->m_version };
  if (const catalog::Rollout* rollout = aCatalog.FindRollout(aModel)) {
    others.push_back(rollout->m_from);
  }
  for (const std::string& other : others) {
    if (catalog::CheckVersionAllowed(aCatalog, aTeam, other).ok()) {
      return other;
    }
  }
  return allowed;
}

absl::Status
CheckPinned(const catalog::Catalog& aCatalog,
            const std::string& aTeam,
            const std::string& aVersion,
            const std::string& aModel)
{
  const catalog::Version* version = aCatalog.FindVersion(aVersion);
  if (version != nullptr && !aModel.empty() && version->m_model != aModel) {
    return base::MakeError(base::ErrorKind::Conflict,
                           "the session is pinned to version '" + aVersion +
                             "' of another model");
  }
  return catalog::CheckVersionAllowed(aCatalog, aTeam, aVersion);
}

SessionPins::SessionPins(EntryComponents& aComponents)
  : m_components(aComponents)
  , m_cache(detail::kMaxPins)
{
}

std::optional<std::string>
SessionPins::CachedVersion(const std::string& aTeam,
                           const std::string& aSession) const
{
  return m_cache.Find(detail::PinKey(aTeam, aSession),
                      m_components.m_clock.Now());
}

net::Task<absl::StatusOr<std::string>>
SessionPins::Pin(std::string aTeam,
                 std::string aSession,
                 std::string aProposed,
                 base::TimePoint aDeadline)
{
  const std::string key = detail::PinKey(aTeam, aSession);
  if (auto cached = m_cache.Find(key, m_components.m_clock.Now())) {
    co_return std::move(*cached);
  }
  wire::PinSessionT pin;
  pin.team = aTeam;
  pin.session = aSession;
  pin.version = aProposed;
  const base::TimePoint askedAt = m_components.m_clock.Now();
  const auto reply =
    co_await m_components.m_ledger.Run(key, std::move(pin), aDeadline);
  if (!reply.ok()) {
    co_return reply.status();
  }
  if (!reply->refused.empty()) {
    co_return base::MakeError(base::ErrorKind::Overloaded, reply->refused);
  }
  if (reply->version.empty()) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              "the ledger confirmed a pin without a version");
  }
  m_cache.Insert(key, reply->version, askedAt);
  m_components.m_events.Record("session_pinned",
                               { { "team", aTeam },
                                 { "session", aSession },
                                 { "version", reply->version },
                                 { "proposed", aProposed } });
  co_return reply->version;
}

} // namespace chivefront::entry
