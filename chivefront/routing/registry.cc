// Merging of registration records, and what has changed in them.
#include "chivefront/routing/registry.h"

#include <algorithm>
#include <tuple>

namespace chivefront::routing {
namespace detail {

// Long enough to cover records that were delayed by a network partition.
constexpr base::Millis kGoneRetention{ 60000 };
// Several times the upstreams of a service that end under one request.
constexpr size_t kMaxSuccessions = 256;
// The end of the cold time differs by this much between records without a
// change, because they travel for different times.
constexpr base::Millis kColdTolerance{ 300 };

// Whether both ends of the cold time mean the same to someone who reads them at
// aNow or later.
bool
IsSameCold(base::TimePoint aLeft, base::TimePoint aRight, base::TimePoint aNow)
{
  const base::TimePoint left = std::max(aLeft, aNow);
  const base::TimePoint right = std::max(aRight, aNow);
  return std::max(left, right) - std::min(left, right) <= kColdTolerance;
}

// Whether the records of one incarnation agree in all that does not change with
// time, apart from the state.
bool
IsSameDescription(const Instance& aLeft, const Instance& aRight)
{
  const auto describe = [](const Instance& aInstance) {
    return std::tie(aInstance.m_service,
                    aInstance.m_address,
                    aInstance.m_domain,
                    aInstance.m_version,
                    aInstance.m_slots);
  };
  return describe(aLeft) == describe(aRight);
}

} // namespace detail

bool
IsRenewal(const Instance& aBefore, const Instance& aAfter)
{
  return aBefore.m_born == aAfter.m_born && aBefore.m_state == aAfter.m_state &&
         detail::IsSameDescription(aBefore, aAfter) &&
         detail::IsSameCold(
           aBefore.m_coldUntil, aAfter.m_coldUntil, aAfter.m_reportedAt);
}

MergeResult
Registry::MergeRecord(const Instance& aRecord)
{
  if (aRecord.m_state == InstanceState::Gone) {
    return Remove(aRecord.m_id, aRecord.m_born, aRecord.m_reportedAt)
             ? MergeResult::Changed
             : MergeResult::Refused;
  }
  const auto found = m_records.find(aRecord.m_id);
  if (found == m_records.end() && IsFull()) {
    return MergeResult::Refused;
  }
  if (found != m_records.end()) {
    const Instance& known = found->second.m_instance;
    // An incarnation that left does not come back.
    if (known.m_state == InstanceState::Gone &&
        known.m_born == aRecord.m_born) {
      return MergeResult::Refused;
    }
    const auto age = std::tie(known.m_born, known.m_sequence);
    if (std::tie(aRecord.m_born, aRecord.m_sequence) <= age) {
      return MergeResult::Refused;
    }
    // The incarnation has its address since the record that named it first.
    if (known.m_born == aRecord.m_born &&
        known.m_address == aRecord.m_address) {
      return Update(found->second, aRecord);
    }
  }
  if (!ClaimAddress(aRecord)) {
    return MergeResult::Refused;
  }
  if (found != m_records.end()) {
    const Instance& known = found->second.m_instance;
    if (known.m_born == aRecord.m_born) {
      return Update(found->second, aRecord);
    }
    RecordSuccession(known, aRecord.m_reportedAt);
  }
  Store(aRecord);
  return MergeResult::Changed;
}

// Takes over a later record of the same incarnation.
MergeResult
Registry::Update(Record& aRecord, const Instance& aNext)
{
  Instance& known = aRecord.m_instance;
  const InstanceState before = known.m_state;
  const bool isSame = detail::IsSameDescription(known, aNext) &&
                      detail::IsSameCold(aRecord.m_statedColdUntil,
                                         aNext.m_coldUntil,
                                         aNext.m_reportedAt);
  const base::TimePoint reportedAt =
    std::max(known.m_reportedAt, aNext.m_reportedAt);
  known = aNext;
  known.m_reportedAt = reportedAt;
  if (aNext.m_born != 0) { // 0: the incarnation is not known
    known.m_state = std::max(before, aNext.m_state);
  }
  if (isSame && known.m_state == before && !aRecord.m_silent) {
    aRecord.m_changed = ++m_sequence;
    return MergeResult::Renewed;
  }
  Alter(aRecord);
  return MergeResult::Changed;
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
    Alter(known);
  }
  return true;
}

void
Registry::Store(Instance aRecord)
{
  Record& stored = m_records[aRecord.m_id];
  stored.m_instance = std::move(aRecord);
  stored.m_vouched = false;
  Alter(stored);
}

// To be called after each change that is not a renewal.
void
Registry::Alter(Record& aRecord)
{
  Notice(aRecord);
  aRecord.m_altered = aRecord.m_noticed;
  aRecord.m_changed = aRecord.m_noticed;
  aRecord.m_statedColdUntil = aRecord.m_instance.m_coldUntil;
  aRecord.m_silent = false; // MarkSilent finds out again
  if (aRecord.m_instance.m_state != InstanceState::Gone) {
    m_freshSince = std::min(m_freshSince, aRecord.m_instance.m_reportedAt);
  }
}

void
Registry::Notice(Record& aRecord)
{
  m_notices.erase(aRecord.m_noticed);
  aRecord.m_noticed = ++m_sequence;
  m_lastNotice = m_sequence;
  m_notices.emplace(aRecord.m_noticed, &aRecord);
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
  Alter(found->second);
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
  Alter(found->second);
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

// A record that was removed before the list of all records began is not on that
// list, and one that is removed later has been noticed as silent, or gone, by
// then.
RegistryNews
Registry::NewsSince(const RegistryPosition& aPosition, base::TimePoint aNow)
{
  if (aNow - m_freshSince > kSilentAfter) {
    MarkSilent(aNow);
  }
  RegistryNews news;
  news.m_freshness = aNow - m_freshSince;
  news.m_whole =
    aPosition.m_sequence == 0 ||
    std::max(aPosition.m_sequence, aPosition.m_floor) < m_removedUpTo;
  const uint64_t since = news.m_whole ? 0 : aPosition.m_sequence;
  size_t count = 0;
  for (auto next = m_notices.upper_bound(since); next != m_notices.end();
       ++next) {
    if (count == kMaxNews) {
      return news; // m_sequence is that of the last record
    }
    ++count;
    const Record& record = *next->second;
    if (record.m_altered > since) {
      news.m_changed.push_back(&record.m_instance);
    }
    if (record.m_silent) {
      news.m_silent.push_back(&record.m_instance);
    }
    news.m_sequence = record.m_noticed;
  }
  news.m_sequence = m_sequence;
  return news;
}

void
Registry::MarkSilent(base::TimePoint aNow)
{
  base::TimePoint freshSince = aNow;
  for (auto& [id, record] : m_records) {
    const Instance& instance = record.m_instance;
    if (instance.m_state == InstanceState::Gone || record.m_silent) {
      continue;
    }
    if (aNow - instance.m_reportedAt > kSilentAfter) {
      record.m_silent = true;
      Notice(record);
    } else {
      freshSince = std::min(freshSince, instance.m_reportedAt);
    }
  }
  m_freshSince = freshSince;
}

// A process whose record is older than the one known here, and differs from it,
// might take the next one for a renewal of its own.
bool
Registry::MergeVouched(const Instance& aRecord)
{
  (void)Merge(aRecord);
  const auto found = m_records.find(aRecord.m_id);
  if (found == m_records.end() ||
      found->second.m_instance.m_born != aRecord.m_born) {
    return true; // a later incarnation is no renewal
  }
  found->second.m_vouched = true;
  const Instance& known = found->second.m_instance;
  return known.m_state == InstanceState::Gone ||
         aRecord.m_state == InstanceState::Gone ||
         (detail::IsSameDescription(known, aRecord) &&
          detail::IsSameCold(
            known.m_coldUntil, aRecord.m_coldUntil, known.m_reportedAt));
}

void
Registry::NoteSilent(const std::string& aId,
                     uint64_t aBorn,
                     base::TimePoint aReportedAt)
{
  const auto found = m_records.find(aId);
  if (found == m_records.end() || found->second.m_instance.m_born != aBorn) {
    return;
  }
  Instance& known = found->second.m_instance;
  found->second.m_vouched = false;
  known.m_reportedAt = std::max(known.m_reportedAt, aReportedAt);
}

void
Registry::StopVouching()
{
  for (auto& [id, record] : m_records) {
    record.m_vouched = false;
  }
}

void
Registry::Renew(base::TimePoint aReportedAt)
{
  for (auto& [id, record] : m_records) {
    Instance& known = record.m_instance;
    if (record.m_vouched && known.m_state != InstanceState::Gone) {
      known.m_reportedAt = std::max(known.m_reportedAt, aReportedAt);
    }
  }
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
    const Record& record = aItem.second;
    const base::Millis retention =
      record.m_instance.m_state == InstanceState::Gone ? detail::kGoneRetention
                                                       : kInstanceTimeout * 2;
    const bool isOld = aNow - record.m_instance.m_reportedAt > retention;
    if (isOld) {
      m_removedUpTo = std::max(m_removedUpTo, record.m_noticed);
      m_notices.erase(record.m_noticed);
      m_lastNotice = ++m_sequence;
    }
    return isOld;
  });
}

} // namespace chivefront::routing
