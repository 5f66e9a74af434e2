// The upstreams that registered themselves, merged from registration records
// that may arrive late, twice, out of order and from several control processes.
//
//   routing::Registry registry;
//   registry.Merge(instance);
//   for (const Instance& changed : registry.ChangedSince(sequence)) ...
//   RegistryNews news = registry.NewsSince(sequence, now); // without renewals
//
// An incarnation of an upstream is identified by its id and the time of its
// start. Within an incarnation the record with the highest sequence number
// wins, but its state never goes back: one that drains does not become ready,
// and nothing follows its end. Does no I/O; not thread-safe.
//
// A renewal is a record in which nothing but time and sequence number differ
// from the one before. A control process does not send renewals to entries: it
// states how long ago each upstream that it vouches for has registered at most,
// and names those that have been silent for longer, by their age, in time for
// the entry to let them expire exactly. An entry renews the records that the
// polled process vouches for by that statement, which is a lower bound of the
// time of the last registration, so no upstream is kept for too long.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"
#include "chivefront/base/settings.h"

namespace chivefront::routing {

enum class InstanceState
{
  Ready,
  Draining, // finishes its requests and gets no new ones
  Gone,     // kept for a while, so that its late records are ignored
};

inline constexpr base::NameTable<InstanceState, 3> kInstanceStateNames{ {
  { { InstanceState::Ready, "ready" },
    { InstanceState::Draining, "draining" },
    { InstanceState::Gone, "gone" } },
} };

// The newest registration record of an upstream.
struct Instance
{
  std::string m_id;
  std::string m_service;
  base::Endpoint m_address;
  std::string m_domain; // failure domain
  std::string m_version;
  uint32_t m_slots = 0;
  InstanceState m_state = InstanceState::Ready;
  uint64_t m_born = 0;     // Unix milliseconds of this incarnation's start
  uint64_t m_sequence = 0; // number of the record within the incarnation
  base::TimePoint m_coldUntil;
  base::TimePoint
    m_reportedAt; // when the record left the upstream, at the latest
};

// An upstream that has not registered for this long gets no requests. Several
// times the registration period, because registrations may be seconds late.
inline constexpr base::Millis kInstanceTimeout{ 8000 };

// Records that a registry holds, those of upstreams that are gone included.
// Several times the largest deployment; anyone who reaches the port can
// register.
inline constexpr size_t kMaxInstances = 65536;

// An incarnation that was ready and whose id or address a younger one has taken
// over: it has ended without saying so.
struct SucceededInstance
{
  std::string m_id;
  uint64_t m_born = 0;
  base::TimePoint m_at; // when the younger one registered
};

// An upstream that has not registered for this long is named to entries as
// silent. Longer than the registration period, the delay of a relayed renewal
// and that of a busy control process together, because each one that is named
// must be sent again; several polls shorter than kInstanceTimeout, so that
// entries hear of it before the upstream expires.
inline constexpr base::Millis kSilentAfter{ 5000 };

// Whether aAfter, of the same upstream, brings only another time and sequence
// number than aBefore.
bool
IsRenewal(const Instance& aBefore, const Instance& aAfter);

enum class MergeResult
{
  Refused, // outdated, repeated, or there is no room
  Renewed, // only time and sequence number are new
  Changed,
};

// Records in RegistryNews, about 40 KB. Bounds what a control process queues
// when hundreds of entries begin to poll it at once. With 5 polls a second an
// entry has the records of 3,800 upstreams within 3 s, before the time has
// passed for which another control process has vouched for them at least.
inline constexpr size_t kMaxNews = 256;

// How far an entry knows a registry.
struct RegistryPosition
{
  uint64_t m_sequence = 0; // 0: not at all
  // Sequence number when the list of all records began that the entry got.
  uint64_t m_floor = 0;
};

// What an entry needs that knows a registry up to a position. The pointers are
// valid until the registry changes.
struct RegistryNews
{
  bool m_whole = false;    // the list of all records begins
  uint64_t m_sequence = 0; // what the entry knows with this, at least
  std::vector<const Instance*> m_changed;
  // Not vouched for until they appear in m_changed again.
  std::vector<const Instance*> m_silent;
  // All others have registered within this time.
  base::Millis m_freshness;
};

class Registry
{
public:
  Registry() = default;
  Registry(const Registry&) = delete; // m_notices points into m_records
  Registry& operator=(const Registry&) = delete;

  // Returns true when the record is new, false when it is outdated or repeated,
  // or when it is the first of an upstream and there is no room.
  // Of a record in the state Gone, id and born count.
  bool Merge(const Instance& aRecord)
  {
    return MergeRecord(aRecord) != MergeResult::Refused;
  }
  MergeResult MergeRecord(const Instance& aRecord);
  // Marks an upstream that unregistered itself as gone, also one that is not
  // known. aBorn 0: any incarnation that is known. Returns false when nothing
  // changed.
  bool Remove(const std::string& aId, uint64_t aBorn, base::TimePoint aNow);
  // Marks the incarnation as draining if it is known as ready. Returns false
  // when nothing changed.
  bool MarkDraining(const std::string& aId, uint64_t aBorn);

  bool IsFull() const { return m_records.size() >= kMaxInstances; }

  // Increases with each change.
  uint64_t Sequence() const { return m_sequence; }
  // Sequence() of the last change that was no renewal, removals included.
  uint64_t LastNotice() const { return m_lastNotice; }
  // The records that changed, renewals included.
  std::vector<Instance> ChangedSince(uint64_t aSequence) const;
  // What changed without renewals, or the oldest kMaxNews of that. All records
  // when a record has been removed that an entry at aPosition may hold.
  RegistryNews NewsSince(const RegistryPosition& aPosition,
                         base::TimePoint aNow);
  // Finds upstreams that have become silent. Call it periodically, so that
  // RegistryNews::m_freshness is close to the true value.
  void MarkSilent(base::TimePoint aNow);

  // For an entry: merges a record of the process that it polls, which vouches
  // for it from now on. Returns false when the process holds an older state of
  // the record than this registry, so that it may not send the next one.
  bool MergeVouched(const Instance& aRecord);
  // The process does not vouch for the incarnation any more, which registered
  // at aReportedAt.
  void NoteSilent(const std::string& aId,
                  uint64_t aBorn,
                  base::TimePoint aReportedAt);
  // The process vouches for no record any more.
  void StopVouching();
  // All records that are vouched for have been renewed at aReportedAt or later.
  void Renew(base::TimePoint aReportedAt);
  const Instance* Find(const std::string& aId) const;

  // Removes upstreams that have not registered for a long time.
  void Expire(base::TimePoint aNow);

  // The latest successions, oldest first, at most kMaxSuccessions.
  const std::deque<SucceededInstance>& Succeeded() const { return m_succeeded; }

  template<typename Visitor>
  void ForEach(Visitor aVisit) const
  {
    for (const auto& [id, record] : m_records) {
      aVisit(record.m_instance);
    }
  }

private:
  struct Record
  {
    Instance m_instance;
    uint64_t m_changed = 0; // value of m_sequence at the last change
    uint64_t m_altered = 0; // the same, without renewals
    uint64_t m_noticed = 0; // the same, or when it became silent; in m_notices
    base::TimePoint m_statedColdUntil; // m_coldUntil at m_altered
    bool m_silent = false;             // not for Gone
    bool m_vouched = false;            // by the process that an entry polls
  };

  void Store(Instance aRecord);
  void Alter(Record& aRecord);
  void Notice(Record& aRecord);
  MergeResult Update(Record& aRecord, const Instance& aNext);
  // Marks an older incarnation at aRecord's address as gone. Returns false when
  // a younger incarnation has that address.
  bool ClaimAddress(const Instance& aRecord);

  void RecordSuccession(const Instance& aEnded, base::TimePoint aNow);

  std::map<std::string, Record> m_records;     // by id
  std::map<uint64_t, const Record*> m_notices; // by m_noticed
  std::deque<SucceededInstance> m_succeeded;
  uint64_t m_sequence = 0;
  uint64_t m_lastNotice = 0;
  // The highest m_noticed of a removed record. A process that knows less may
  // hold that record still.
  uint64_t m_removedUpTo = 0;
  // No record that is neither silent nor gone was reported before this.
  base::TimePoint m_freshSince;
};

} // namespace chivefront::routing
