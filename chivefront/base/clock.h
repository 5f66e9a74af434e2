// The time types of all Chivefront processes: whole milliseconds on a steady
// clock. Wall-clock time appears in log and event records. It takes part in no
// decision but the usage windows, where a median over hosts replaces it
// (duty/true_time.h).
//
//   const base::TimePoint deadline = clock.Now() + base::Millis(250);
//   if (clock.Now() >= deadline) ...
//
// Code that makes decisions takes a TimePoint argument and never reads a
// clock, so that a test can set the time.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace chivefront::base {

// A duration in milliseconds; may be negative.
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
// never be compared, because each host counts from its own boot; messages
// carry ages instead.
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
  constexpr TimePoint operator+(Millis aDuration) const
  {
    return TimePoint(m_sinceBoot + aDuration);
  }
  constexpr TimePoint operator-(Millis aDuration) const
  {
    return TimePoint(m_sinceBoot - aDuration);
  }
  constexpr Millis operator-(TimePoint aOther) const
  {
    return m_sinceBoot - aOther.m_sinceBoot;
  }

private:
  Millis m_sinceBoot;
};

// The source of time for the code that calls the decision code.
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

// A clock that a test advances explicitly. Not thread-safe.
class ManualClock final : public Clock
{
public:
  TimePoint Now() const override { return m_now; }
  void Advance(Millis aDuration) { m_now = m_now + aDuration; }

private:
  TimePoint m_now;
};

// Milliseconds since the Unix epoch, for log and event records and as a reading
// for duty::TrueTime only.
int64_t
WallClockMillis();

} // namespace chivefront::base
