// Merging of registration records.
#include "chivefront/routing/registry.h"

#include <algorithm>
#include <tuple>

namespace chivefront::routing {
namespace detail {

// Long enough to cover records that were delayed by a network partition.
constexpr base::Millis kGoneRetention{ 60000 };
// Several times the upstreams of a service that end under one request.
constexpr size_t kMaxSuccessions = 256;

} // namespace detail

bool
Registry::Merge(const Instance& aRecord)
{
  if (aRecord.m_state == InstanceState::Gone) {
    return Remove(aRecord.m_id, aRecord.m_born, aRecord.m_reportedAt);
  }
  const auto found = m_records.find(aRecord.m_id);
  if (found == m_records.end() && IsFull()) {
    return false;
  }
  if (found != m_records.end()) {
    const Instance& known = found->second.m_instance;
    // An incarnation that left does not come back.
    if (known.m_state == InstanceState::Gone &&
        known.m_born == aRecord.m_born) {
      return false;
    }
    const auto age = std::tie(known.m_born, known.m_sequence);
    if (std::tie(aRecord.m_born, aRecord.m_sequence) <= age) {
      return false;
    }
  }
  if (!ClaimAddress(aRecord)) {
    return false;
  }
  Instance merged = aRecord;
  if (found != m_records.end()) {
    const Instance& known = found->second.m_instance;
    if (known.m_born != aRecord.m_born) {
      RecordSuccession(known, aRecord.m_reportedAt);
    } else if (aRecord.m_born != 0) { // 0: the incarnation is not known
      merged.m_state = std::max(known.m_state, aRecord.m_state);
    }
  }
  Store(std::move(merged));
  return true;
}

void
Registry::RecordSuccession(const Instance& aEnded, base::TimePoint aNow)
{
  if (aEnded.m_state != InstanceState::Ready) {
    return;
  }
  m_succeeded.push_back({ aEnded.m_id, aEnded.m_born, aNow });
  if (m_succeeded.size() > detail::kMaxSuccessions) {
    m_succeeded.pop_front();
  }
}

// Two incarnations never share an address: the younger one has it.
bool
Registry::ClaimAddress(const Instance& aRecord)
{
  for (auto& [id, known] : m_records) {
    Instance& other = known.m_instance;
    if (id == aRecord.m_id || other.m_address != aRecord.m_address ||
        other.m_state == InstanceState::Gone) {
      continue;
    }
    if (other.m_born > aRecord.m_born) {
      return false;
    }
    RecordSuccession(other, aRecord.m_reportedAt);
    other.m_state = InstanceState::Gone;
    known.m_changed = ++m_sequence;
  }
  return true;
}

void
Registry::Store(Instance aRecord)
{
  Record& stored = m_records[aRecord.m_id];
  stored = { std::move(aRecord), ++m_sequence };
}

// The end of an incarnation overtakes all its records: it has no number in
// their sequence, and may reach a process that has missed some of them or all.
bool
Registry::Remove(const std::string& aId, uint64_t aBorn, base::TimePoint aNow)
{
  const auto found = m_records.find(aId);
  if (found == m_records.end()) {
    if (aBorn == 0 || IsFull()) {
      return false;
    }
    Instance unknown;
    unknown.m_id = aId;
    unknown.m_born = aBorn;
    unknown.m_state = InstanceState::Gone;
    unknown.m_reportedAt = aNow;
    Store(unknown);
    return true;
  }
  Instance& known = found->second.m_instance;
  const bool isOlder = aBorn != 0 && aBorn < known.m_born;
  const bool isKnown = aBorn <= known.m_born;
  if (isOlder || (isKnown && known.m_state == InstanceState::Gone)) {
    return false;
  }
  known.m_born = std::max(known.m_born, aBorn);
  known.m_state = InstanceState::Gone;
  known.m_reportedAt = aNow;
  ++known.m_sequence; // processes of an older release go by it
  found->second.m_changed = ++m_sequence;
  return true;
}

bool
Registry::MarkDraining(const std::string& aId, uint64_t aBorn)
{
  const auto found = m_records.find(aId);
  if (found == m_records.end()) {
    return false;
  }
  Instance& known = found->second.m_instance;
  if (known.m_born != aBorn || known.m_state != InstanceState::Ready) {
    return false;
  }
  known.m_state = InstanceState::Draining;
  ++known.m_sequence; // entries that know the older record go by it
  found->second.m_changed = ++m_sequence;
  return true;
}

std::vector<Instance>
Registry::ChangedSince(uint64_t aSequence) const
{
  std::vector<Instance> changed;
  for (const auto& [id, known] : m_records) {
    if (known.m_changed > aSequence) {
      changed.push_back(known.m_instance);
    }
  }
  return changed;
}

const Instance*
Registry::Find(const std::string& aId) const
{
  const auto found = m_records.find(aId);
  return found == m_records.end() ? nullptr : &found->second.m_instance;
}

void
Registry::Expire(base::TimePoint aNow)
{
  std::erase_if(m_records, [&](const auto& aItem) {
    const Instance& instance = aItem.second.m_instance;
    const base::Millis retention = instance.m_state == InstanceState::Gone
                                     ? detail::kGoneRetention
                                     : kInstanceTimeout * 2;
    return aNow - instance.m_reportedAt > retention;
  });
}

} // namespace chivefront::routing
