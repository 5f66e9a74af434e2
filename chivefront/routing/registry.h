// The upstreams that registered themselves, merged from registration records
// that may arrive late, twice, out of order and from several control processes.
//
//   routing::Registry registry;
//   registry.Merge(instance, now);
//   for (const Instance& changed : registry.ChangedSince(sequence)) ...
//
// An incarnation of an upstream is identified by its id and the time of its
// start. Within an incarnation the record with the highest sequence number
// wins, but its state never goes back: one that drains does not become ready,
// and nothing follows its end. Does no I/O; not thread-safe.
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

class Registry
{
public:
  // Returns true when the record is new, false when it is outdated or repeated,
  // or when it is the first of an upstream and there is no room.
  // Of a record in the state Gone, id and born count.
  bool Merge(const Instance& aRecord);
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
  std::vector<Instance> ChangedSince(uint64_t aSequence) const;
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
  };

  void Store(Instance aRecord);
  // Marks an older incarnation at aRecord's address as gone. Returns false when
  // a younger incarnation has that address.
  bool ClaimAddress(const Instance& aRecord);

  void RecordSuccession(const Instance& aEnded, base::TimePoint aNow);

  std::map<std::string, Record> m_records; // by id
  std::deque<SucceededInstance> m_succeeded;
  uint64_t m_sequence = 0;
};

} // namespace chivefront::routing
