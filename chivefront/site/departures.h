// The incarnations of upstreams that have said that they leave, as the
// replicated state keeps them.
//
//   Departures departures;
//   departures.Record({ "i-1", born, InstanceState::Gone, wallClock });
//   if (departures.Holds("i-1", born, InstanceState::Draining, wallClock)) ...
//   departures.ForEachAfter(number, [](const Departure& aDeparture) { ... });
//
// Registrations are soft state, which the next one of the upstream renews. An
// upstream that leaves may send no further one, so what it said is kept here. A
// departure never ends: the next incarnation has another time of start. Only
// that of an upstream that does not tell its start is forgotten early.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "chivefront/base/clock.h"
#include "chivefront/routing/registry.h"

namespace chivefront::site {

struct Departure
{
  std::string m_upstream; // its id
  uint64_t m_born = 0;    // start of the incarnation, see routing::Instance
  routing::InstanceState m_state = routing::InstanceState::Gone; // not Ready
  int64_t m_recordedAt = 0; // leader's wall clock, Unix milliseconds
  uint64_t m_number = 0;    // order of the records, set by Departures
};

// A value, copied with the state. Deterministic: the same records in the same
// order give the same departures on every replica. Uses no clock.
class Departures
{
public:
  // Returns false when aDeparture says nothing new. Forgets what was recorded
  // kDepartureRetention before aDeparture, and the oldest beyond
  // kMaxDepartures.
  bool Record(const Departure& aDeparture);
  // Takes over a departure with its number, from a snapshot.
  void Restore(const Departure& aDeparture);

  // Whether the incarnation is recorded in aState or in a later one. aWallClock
  // is in Unix milliseconds.
  bool Holds(const std::string& aUpstream,
             uint64_t aBorn,
             routing::InstanceState aState,
             int64_t aWallClock) const;

  // Number of the newest record; 0: none was made.
  uint64_t LastNumber() const { return m_lastNumber; }

  // Visits the departures with a higher number than aNumber, oldest first.
  template<typename Visitor>
  void ForEachAfter(uint64_t aNumber, Visitor aVisit) const
  {
    for (auto next = m_byNumber.upper_bound(aNumber); next != m_byNumber.end();
         ++next) {
      aVisit(next->second);
    }
  }

private:
  using Key = std::pair<std::string, uint64_t>; // id and born

  std::map<uint64_t, Departure> m_byNumber; // at most kMaxDepartures
  std::map<Key, uint64_t> m_numbers;        // keys of m_byNumber
  uint64_t m_lastNumber = 0;                // never decreases
};

// A record of an upstream from before its departure may come back for this
// long: from a process that was away, or from a file that lost a power failure.
inline constexpr base::Millis kDepartureRetention{ 600000 };
// The same without a time of start: the id may be used again. As long as
// routing::Registry ignores late records of an upstream that has left.
inline constexpr base::Millis kUndatedDepartureRetention{ 60000 };
// Several times the upstreams that the largest deployment replaces in that
// time.
inline constexpr size_t kMaxDepartures = 8192;

} // namespace chivefront::site
