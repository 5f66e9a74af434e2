// Time as every part of Chivefront measures it: whole milliseconds on a steady
// clock. Wall-clock time appears only in event records, never in decisions.
//
//   const base::TimePoint deadline = clock.Now() + base::Millis(250);
//   if (clock.Now() >= deadline) ...
//
// Pure decision code takes a TimePoint argument and never reads a clock.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace chivefront::base {

// A length of time in milliseconds; may be negative.
class Millis
{
public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t aCount)
    : m_count(aCount)
  {
  }

  constexpr int64_t Count() const { return m_count; }
  constexpr std::chrono::milliseconds ToChrono() const
  {
    return std::chrono::milliseconds(m_count);
  }

  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis aOther) const
  {
    return Millis(m_count + aOther.m_count);
  }
  constexpr Millis operator-(Millis aOther) const
  {
    return Millis(m_count - aOther.m_count);
  }
  constexpr Millis operator*(int64_t aFactor) const
  {
    return Millis(m_count * aFactor);
  }
  constexpr Millis operator/(int64_t aDivisor) const
  {
    return Millis(m_count / aDivisor);
  }

private:
  int64_t m_count = 0;
};

// A point on the steady clock of this host. Points of different hosts must
// never be compared; send ages instead.
class TimePoint
{
public:
  constexpr TimePoint() = default;
  constexpr explicit TimePoint(Millis aSinceBoot)
    : m_sinceBoot(aSinceBoot)
  {
  }

  constexpr Millis SinceBoot() const { return m_sinceBoot; }

  constexpr auto operator<=>(const TimePoint&) const = default;
  constexpr TimePoint operator+(Millis aSpan) const
  {
    return TimePoint(m_sinceBoot + aSpan);
  }
  constexpr TimePoint operator-(Millis aSpan) const
  {
    return TimePoint(m_sinceBoot - aSpan);
  }
  constexpr Millis operator-(TimePoint aOther) const
  {
    return m_sinceBoot - aOther.m_sinceBoot;
  }

private:
  Millis m_sinceBoot;
};

// The source of time handed to the shells around the decision code.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

// Reads CLOCK_BOOTTIME, which goes on while the host is suspended, so that a
// lease held by a suspended host still runs out.
class SteadyClock final : public Clock
{
public:
  TimePoint Now() const override;
  static const SteadyClock& Instance();
};

// A clock that tests move by hand. Not thread-safe.
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return m_now; }
  void Advance(Millis aSpan) { m_now = m_now + aSpan; }

private:
  TimePoint m_now;
};

// Milliseconds since the Unix epoch, for event records only.
int64_t
WallClockMillis();

} // namespace chivefront::base
