// True time from wall clocks of which some are wrong.
#define BOOST_TEST_MODULE duty_true_time
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "chivefront/duty/true_time.h"

using namespace chivefront;
using namespace chivefront::duty;

namespace {

constexpr int64_t kEpoch = 1767225600000; // true time at the steady time 0
constexpr int64_t kPollMillis = 200;
// Delays of polls make the time late by up to this.
constexpr int64_t kMaxDelay = 40;

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

std::string
NameOf(size_t aEntry)
{
  return "edge-" + std::to_string(aEntry);
}

// Entries whose clocks are off by m_errors poll a control process whose own
// clock is off by m_ownError.
struct Clocks
{
  explicit Clocks(size_t aEntries)
    : m_errors(aEntries)
  {
  }

  void Poll(int64_t aNow, size_t aEntry)
  {
    const int64_t delay =
      std::uniform_int_distribution<int64_t>(0, kMaxDelay)(m_random);
    m_time.Record(NameOf(aEntry),
                  kEpoch + aNow - delay + m_errors[aEntry],
                  m_liveEntries,
                  At(aNow));
  }

  // Polls of all entries from m_now on; returns the largest error of the true
  // time after them.
  int64_t MaxError(int64_t aMillis)
  {
    int64_t error = 0;
    for (const int64_t until = m_now + aMillis; m_now < until;
         m_now += kPollMillis) {
      for (size_t entry = 0; entry < m_errors.size(); ++entry) {
        Poll(m_now, entry);
        if (const auto time = Read()) {
          error = std::max(error, std::abs(*time - kEpoch - m_now));
        }
      }
    }
    return error;
  }

  std::optional<int64_t> Read()
  {
    return m_time.At(At(m_now), kEpoch + m_now + m_ownError);
  }

  std::mt19937 m_random{ 7 };
  std::vector<int64_t> m_errors;
  int64_t m_ownError = 0;
  uint32_t m_liveEntries = 0;
  int64_t m_now = 10000;
  TrueTime m_time;
};

} // namespace

// Guards against windows that shift when a third of the clocks steps by seconds
// and back, the clock of the control process among them, whether it shares a
// host with an entry or not.
BOOST_AUTO_TEST_CASE(AThirdOfTheClocksStepsAndBack)
{
  for (const size_t entries : { 3U, 4U, 6U, 26U, 300U }) {
    for (const int64_t step : { 7000, -7000, 120000 }) {
      Clocks clocks(entries);
      clocks.m_liveEntries = static_cast<uint32_t>(entries);
      BOOST_TEST(clocks.MaxError(3000) <= kMaxDelay);
      BOOST_REQUIRE(clocks.Read().has_value());
      for (size_t i = 0; i < entries / 3; ++i) {
        clocks.m_errors[i] = step;
      }
      clocks.m_ownError = step;
      BOOST_TEST(clocks.MaxError(3000) <= kMaxDelay, entries << " " << step);
      clocks.m_errors.assign(entries, 0);
      clocks.m_ownError = 0;
      BOOST_TEST(clocks.MaxError(3000) <= kMaxDelay, entries << " " << step);
    }
  }
}

// Guards against a new leader that takes the clock of the first entry that
// polls it for the true time.
BOOST_AUTO_TEST_CASE(FirstClocksDoNotDecide)
{
  Clocks clocks(5);
  clocks.m_errors[0] = 9000;
  clocks.Poll(clocks.m_now, 0);
  BOOST_TEST(!clocks.Read().has_value());
  BOOST_TEST(clocks.MaxError(3000) <= kMaxDelay);
  BOOST_TEST(clocks.Read().has_value());
}

// Guards against a control process that is cut off with one host of many and
// passes on the clock of that host.
BOOST_AUTO_TEST_CASE(MinorityOfTheEntriesIsNotTheTrueTime)
{
  Clocks clocks(2);
  clocks.m_liveEntries = 6;
  (void)clocks.MaxError(4000);
  BOOST_TEST(!clocks.Read().has_value());
  clocks.m_liveEntries = 3; // the lost ones are no longer counted
  (void)clocks.MaxError(1000);
  BOOST_TEST(clocks.Read().has_value());
}

// Guards against a time that jumps when most entries are lost at once and the
// clocks of the others are wrong: the known time goes on with the steady clock.
BOOST_AUTO_TEST_CASE(KnownTimeOutlivesItsClocks)
{
  Clocks clocks(6);
  clocks.m_liveEntries = 6;
  (void)clocks.MaxError(3000);
  clocks.m_ownError = -5000;
  clocks.m_now += 60000;
  clocks.m_errors = { 8000, 8000 };
  BOOST_TEST(clocks.MaxError(3000) <= kMaxDelay);
  clocks.m_now += 11 * 60000; // too long for the steady clock
  BOOST_TEST(!clocks.Read().has_value());
}

// Guards against a restarted entry that counts twice, and against readings that
// can't be times.
BOOST_AUTO_TEST_CASE(UnusableReadingsDoNotCount)
{
  TrueTime time;
  for (int64_t now = 0; now <= 2000; now += kPollMillis) {
    for (const int64_t wall : { int64_t(0), int64_t(-1), INT64_MAX }) {
      time.Record("bad", wall, 0, At(now));
    }
  }
  BOOST_TEST(!time.At(At(2000), kEpoch).has_value());
  Clocks clocks(3);
  clocks.m_errors[0] = 5000;
  (void)clocks.MaxError(2000);
  for (int i = 0; i < 5; ++i) {
    clocks.Poll(clocks.m_now, 0); // each time as another incarnation
  }
  BOOST_TEST(std::abs(*clocks.Read() - kEpoch - clocks.m_now) <= kMaxDelay);
}

// Guards against an entry that follows its own clock although it knows the true
// time, and against a time that is off by the delay of one slow answer.
BOOST_AUTO_TEST_CASE(EntryFollowsExactAnswers)
{
  ReceivedTime received;
  BOOST_TEST(received.At(At(1000), 42) == 42);
  BOOST_TEST(!received.IsKnown());
  received.Accept(kEpoch + 1100, At(1000), At(1400)); // better than none
  BOOST_TEST(received.At(At(1400), 42) == kEpoch + 1300);
  received.Accept(0, At(1500), At(1500)); // the answer holds no time
  received.Accept(kEpoch + 2001, At(2000), At(2004));
  received.Accept(kEpoch + 2000, At(3000), At(3500));
  BOOST_TEST(received.At(At(3500), 42) == kEpoch + 3499);
}
