// Recording of departures, bounded by age and number.
#include "chivefront/site/departures.h"

#include <algorithm>

namespace chivefront::site {

bool
Departures::Record(const Departure& aDeparture)
{
  const Key key(aDeparture.m_upstream, aDeparture.m_born);
  if (Holds(
        key.first, key.second, aDeparture.m_state, aDeparture.m_recordedAt)) {
    return false;
  }
  if (const auto known = m_numbers.find(key); known != m_numbers.end()) {
    m_byNumber.erase(known->second);
  }
  Departure numbered = aDeparture;
  numbered.m_number = m_lastNumber + 1;
  Restore(numbered);
  const int64_t forgottenBefore =
    aDeparture.m_recordedAt - kDepartureRetention.Count();
  while (m_byNumber.size() > kMaxDepartures ||
         m_byNumber.begin()->second.m_recordedAt < forgottenBefore) {
    const Departure& oldest = m_byNumber.begin()->second;
    m_numbers.erase({ oldest.m_upstream, oldest.m_born });
    m_byNumber.erase(m_byNumber.begin());
  }
  return true;
}

void
Departures::Restore(const Departure& aDeparture)
{
  m_lastNumber = std::max(m_lastNumber, aDeparture.m_number);
  m_numbers[{ aDeparture.m_upstream, aDeparture.m_born }] = aDeparture.m_number;
  m_byNumber[aDeparture.m_number] = aDeparture;
}

bool
Departures::Holds(const std::string& aUpstream,
                  uint64_t aBorn,
                  routing::InstanceState aState,
                  int64_t aWallClock) const
{
  const auto known = m_numbers.find({ aUpstream, aBorn });
  if (known == m_numbers.end()) {
    return false;
  }
  const Departure& departure = m_byNumber.at(known->second);
  const bool isCurrent = aBorn != 0 || aWallClock - departure.m_recordedAt <
                                         kUndatedDepartureRetention.Count();
  return isCurrent && departure.m_state >= aState;
}

} // namespace chivefront::site
