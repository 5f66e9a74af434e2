// The upstreams that registered themselves, merged from records that arrive
// late, twice, out of order and over several control processes.
//
//   routing::Registry registry;
//   registry.Merge(instance, now);
//   for (const Instance& changed : registry.ChangedSince(sequence)) ...
//
// An incarnation of an upstream is its id and the time of its start; within
// one the record with the highest number holds. Pure; not thread-safe.
#pragma once

#include <cstdint>
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
  Draining, // finishes what it has
  Gone,     // kept for a while, so that late records of it are recognised
};

inline constexpr base::NameTable<InstanceState, 3> kInstanceStateNames{ {
  { { InstanceState::Ready, "ready" },
    { InstanceState::Draining, "draining" },
    { InstanceState::Gone, "gone" } },
} };

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

// An upstream that is silent for this long is left out; several times the
// registration period, because registrations may be seconds late.
inline constexpr base::Millis kInstanceTimeout{ 8000 };

class Registry
{
public:
  // True when the record is news; false for an old or repeated one.
  bool Merge(const Instance& aRecord);
  // The upstream said that it leaves. aBorn 0: whatever its incarnation.
  bool Remove(const std::string& aId, uint64_t aBorn, base::TimePoint aNow);

  // Rises with each change.
  uint64_t Sequence() const { return m_sequence; }
  std::vector<Instance> ChangedSince(uint64_t aSequence) const;
  const Instance* Find(const std::string& aId) const;

  // Forgets what has been silent for long.
  void Expire(base::TimePoint aNow);

  template<typename Visitor>
  void ForEach(Visitor aVisit) const
  {
    for (const auto& [id, held] : m_held) {
      aVisit(held.m_instance);
    }
  }

private:
  struct Held
  {
    Instance m_instance;
    uint64_t m_changed = 0; // m_sequence of the last change
  };

  void Store(const Instance& aRecord);
  bool ReplacesAddress(const Instance& aRecord);

  std::map<std::string, Held> m_held; // by id
  uint64_t m_sequence = 0;
};

} // namespace chivefront::routing
