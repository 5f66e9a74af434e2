// Medians of clock offsets, and when they are known well enough.
#include "chivefront/duty/true_time.h"

#include <algorithm>
#include <vector>

namespace chivefront::duty {
namespace detail {

// Largest Unix time in milliseconds that has a double of its own.
constexpr int64_t kMaxTime = int64_t(1) << 53;
// Several times the number of entries of a deployment.
constexpr size_t kMaxReadings = 1024;
// How long a reading counts after its process was last heard. Steady clocks of
// hosts differ by less than a millisecond in this time, so the reading remains
// exact while entries look for a new leader.
constexpr base::Millis kReadingLifetime{ 5000 };
// The median over hundreds of entries is not taken anew with each poll.
constexpr base::Millis kUpdatePeriod{ 100 };
// Five polls: the first clocks that are read may be wrong ones.
constexpr base::Millis kGatherTime{ 1000 };
// A steady clock may drift by 50 ms in this time.
constexpr base::Millis kOffsetLifetime{ 10 * 60 * 1000 };
// An answer that took longer is off by up to half of the excess.
constexpr base::Millis kMaxRoundTrip{ 100 };
// A time from a slow answer is better than one of this age.
constexpr base::Millis kExactTimeLifetime{ 60 * 1000 };

// aValues must not be empty. The upper one of two middle values.
template<typename Value>
Value
Median(std::vector<Value> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace detail

void
TrueTime::Record(const std::string& aProcess,
                 int64_t aWallTime,
                 uint32_t aLiveEntries,
                 base::TimePoint aNow)
{
  if (aNow - m_expiredAt >= detail::kUpdatePeriod) {
    Expire(aNow);
  }
  const bool isFull = m_readings.size() >= detail::kMaxReadings &&
                      m_readings.count(aProcess) == 0;
  if (aWallTime <= 0 || aWallTime > detail::kMaxTime || isFull) {
    return;
  }
  if (m_readings.empty()) {
    m_readingSince = aNow;
  }
  m_readings[aProcess] = { aWallTime - aNow.SinceBoot().Count(),
                           aLiveEntries,
                           aNow };
}

void
TrueTime::Expire(base::TimePoint aNow)
{
  m_expiredAt = aNow;
  std::erase_if(m_readings, [aNow](const auto& aReading) {
    return aNow - aReading.second.m_readAt > detail::kReadingLifetime;
  });
}

uint32_t
TrueTime::LiveEntries() const
{
  std::vector<uint32_t> liveEntries;
  for (const auto& [process, reading] : m_readings) {
    if (reading.m_liveEntries > 0) {
      liveEntries.push_back(reading.m_liveEntries);
    }
  }
  return liveEntries.empty() ? 0 : detail::Median(std::move(liveEntries));
}

// Whether more than half of the live entries have stated their clocks. A
// process that is cut off with a few hosts has no quorum, and neither has a new
// leader at first.
bool
TrueTime::HasQuorum(base::TimePoint aNow) const
{
  return !m_readings.empty() && aNow - m_readingSince >= detail::kGatherTime &&
         m_readings.size() * 2 > LiveEntries();
}

// Of all readings, and of the own clock beside an even number of them.
int64_t
TrueTime::MedianOffset(int64_t aOwnOffset) const
{
  std::vector<int64_t> offsets;
  for (const auto& [process, reading] : m_readings) {
    offsets.push_back(reading.m_offset);
  }
  if (offsets.size() % 2 == 0) {
    offsets.push_back(aOwnOffset);
  }
  return detail::Median(std::move(offsets));
}

std::optional<int64_t>
TrueTime::At(base::TimePoint aNow, int64_t aOwnWallTime)
{
  const int64_t steady = aNow.SinceBoot().Count();
  if (aNow - m_updatedAt >= detail::kUpdatePeriod) {
    m_updatedAt = aNow;
    Expire(aNow);
    if (HasQuorum(aNow)) {
      m_offset = MedianOffset(aOwnWallTime - steady);
      m_offsetAt = aNow;
    }
  }
  if (!m_offset || aNow - m_offsetAt > detail::kOffsetLifetime) {
    return std::nullopt;
  }
  return steady + *m_offset;
}

void
ReceivedTime::Accept(int64_t aTrueTime,
                     base::TimePoint aAskedAt,
                     base::TimePoint aNow)
{
  if (aTrueTime <= 0 || aTrueTime > detail::kMaxTime) {
    return;
  }
  const base::Millis roundTrip = aNow - aAskedAt;
  const bool isExact =
    roundTrip <= std::max(detail::kMaxRoundTrip, m_roundTrip);
  if (!isExact && m_offset &&
      aNow - m_acceptedAt < detail::kExactTimeLifetime) {
    return;
  }
  // The time was taken about in the middle between question and answer.
  m_offset = aTrueTime + roundTrip.Count() / 2 - aNow.SinceBoot().Count();
  m_roundTrip = roundTrip;
  m_acceptedAt = aNow;
}

int64_t
ReceivedTime::At(base::TimePoint aNow, int64_t aWallTime) const
{
  return m_offset ? aNow.SinceBoot().Count() + *m_offset : aWallTime;
}

} // namespace chivefront::duty
