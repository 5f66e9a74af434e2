// Merging of registrations.
#include "chivefront/routing/registry.h"

#include <tuple>

namespace chivefront::routing {
namespace detail {

// Long enough for any record that was held up by a partition.
constexpr base::Millis kGoneLife{ 60000 };

} // namespace detail

bool
Registry::Merge(const Instance& aRecord)
{
  const auto found = m_held.find(aRecord.m_id);
  if (found != m_held.end()) {
    const Instance& held = found->second.m_instance;
    const auto age = std::tie(held.m_born, held.m_sequence);
    if (std::tie(aRecord.m_born, aRecord.m_sequence) <= age) {
      return false;
    }
    // An incarnation that left does not come back.
    if (held.m_state == InstanceState::Gone && held.m_born == aRecord.m_born) {
      return false;
    }
  }
  if (!ReplacesAddress(aRecord)) {
    return false;
  }
  Store(aRecord);
  return true;
}

// Two incarnations never share an address: the younger one holds it.
bool
Registry::ReplacesAddress(const Instance& aRecord)
{
  for (auto& [id, held] : m_held) {
    Instance& other = held.m_instance;
    if (id == aRecord.m_id || other.m_address != aRecord.m_address ||
        other.m_state == InstanceState::Gone) {
      continue;
    }
    if (other.m_born > aRecord.m_born) {
      return false;
    }
    other.m_state = InstanceState::Gone;
    held.m_changed = ++m_sequence;
  }
  return true;
}

void
Registry::Store(const Instance& aRecord)
{
  m_held[aRecord.m_id] = { aRecord, ++m_sequence };
}

bool
Registry::Remove(const std::string& aId, uint64_t aBorn, base::TimePoint aNow)
{
  const auto found = m_held.find(aId);
  if (found == m_held.end()) {
    return false;
  }
  Instance& held = found->second.m_instance;
  if (held.m_state == InstanceState::Gone ||
      (aBorn != 0 && aBorn < held.m_born)) {
    return false;
  }
  held.m_state = InstanceState::Gone;
  held.m_reportedAt = aNow;
  ++held.m_sequence;
  found->second.m_changed = ++m_sequence;
  return true;
}

std::vector<Instance>
Registry::ChangedSince(uint64_t aSequence) const
{
  std::vector<Instance> changed;
  for (const auto& [id, held] : m_held) {
    if (held.m_changed > aSequence) {
      changed.push_back(held.m_instance);
    }
  }
  return changed;
}

const Instance*
Registry::Find(const std::string& aId) const
{
  const auto found = m_held.find(aId);
  return found == m_held.end() ? nullptr : &found->second.m_instance;
}

void
Registry::Expire(base::TimePoint aNow)
{
  std::erase_if(m_held, [&](const auto& aItem) {
    const Instance& instance = aItem.second.m_instance;
    const base::Millis life = instance.m_state == InstanceState::Gone
                                ? detail::kGoneLife
                                : kInstanceTimeout * 2;
    return aNow - instance.m_reportedAt > life;
  });
}

} // namespace chivefront::routing
