// Simulates many entries that share the bound of one upstream, with a leading
// control process, and checks the sum of their requests in each window.
#define BOOST_TEST_MODULE routing_permit_bound
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>

#include "chivefront/routing/cold_bound.h"
#include "chivefront/routing/permit_client.h"
#include "chivefront/routing/request_limits.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr int64_t kStepMillis = 5;
constexpr int64_t kPollMillis = 200;
constexpr int64_t kSpanMillis = 60000;
// The delays of answers on slow links.
constexpr int64_t kMaxLatencyMillis = 60;
constexpr int64_t kMaxWaitMillis = 500;
// A request is sent at most this long after its permit was taken.
constexpr int64_t kMaxSendMillis = 100;
// What an entry sends counts from this time after it has heard the bound.
constexpr int64_t kHearingGraceMillis = 500;
constexpr int64_t kMostLoseControlAt = 40000;
constexpr int64_t kLoweredAt = 30000;
constexpr PermitKey kKey = 7;

RateBound
LimitBound(double aPerSecond)
{
  RequestLimits limits;
  (void)limits.Record({ kKey, aPerSecond, base::TimePoint() });
  return limits.FindBound(kKey).value();
}

// What happens to the processes. All of it may come together.
struct Faults
{
  bool m_restarts = false;  // entries restart, and some join late
  bool m_freezes = false;   // entries stand still for some seconds
  bool m_lostLinks = false; // single entries lose control for some seconds
  bool m_elections = false; // another control process leads
  bool m_noControl = false; // no control process leads for ten seconds
  // Most entries lose control for ten seconds, and the others keep it.
  bool m_mostLoseControl = false;
};

struct Setting
{
  uint32_t m_entries = 30;
  RateBound m_bound;
  double m_demand = 4; // requests per second of each entry
  // Each entry first hears the bound at a random moment of this time. What it
  // sends until then does not count and is left out.
  int64_t m_hearingMillis = 0;
  // From kLoweredAt on the upstream states this limit in place of m_bound.
  std::optional<RateBound> m_lowered;
  Faults m_faults;
  uint64_t m_seed = 1;
};

struct SimulatedEntry
{
  std::unique_ptr<PermitClient> m_client;
  std::string m_name; // of the incarnation
  std::string m_process;
  EntryGroup m_group;
  int64_t m_nextPoll = 0;
  int64_t m_frozenUntil = 0;
  int64_t m_cutUntil = 0; // no contact with control
  int64_t m_joinsAt = 0;
  int64_t m_hearsAt = 0;
  int64_t m_lowerHeardAt = 0;        // when it hears the lower limit
  std::deque<int64_t> m_waiting;     // arrival of each request
  std::vector<PermitGrant> m_answer; // on its way
  int64_t m_askedAt = 0;
  int64_t m_answerAt = -1; // -1: none
};

class Simulation
{
public:
  explicit Simulation(const Setting& aSetting)
    : m_setting(aSetting)
    , m_random(aSetting.m_seed)
  {
    for (uint32_t i = 0; i < m_setting.m_entries; ++i) {
      m_entries.emplace_back();
      Restart(m_entries.back());
      if (m_setting.m_faults.m_restarts && Chance(0.2)) {
        m_entries.back().m_joinsAt = Uniform(kSpanMillis / 2);
      }
      if (m_setting.m_hearingMillis > 0) {
        m_entries.back().m_hearsAt = Uniform(m_setting.m_hearingMillis);
      }
    }
  }

  // Runs the whole span and returns the times of all requests sent, without
  // those of entries that had not heard the bound kHearingGraceMillis before.
  const std::vector<int64_t>& Run()
  {
    // The limit is stated long after the hosts have booted.
    for (m_now = 0; m_now < kSpanMillis; m_now += kStepMillis) {
      InjectFaults();
      for (SimulatedEntry& entry : m_entries) {
        if (m_now >= entry.m_joinsAt && m_now >= entry.m_frozenUntil) {
          Step(entry);
        }
      }
    }
    std::sort(m_sent.begin(), m_sent.end());
    return m_sent;
  }

  // The most requests in any window of aMillis that begins at aFrom or later.
  int64_t MostIn(int64_t aMillis, int64_t aFrom = 0) const
  {
    int64_t most = 0;
    size_t first = static_cast<size_t>(std::distance(
      m_sent.begin(), std::lower_bound(m_sent.begin(), m_sent.end(), aFrom)));
    for (size_t last = first; last < m_sent.size(); ++last) {
      while (m_sent[last] - m_sent[first] > aMillis) {
        ++first;
      }
      most = std::max(most, static_cast<int64_t>(last - first + 1));
    }
    return most;
  }

private:
  int64_t Uniform(int64_t aBelow)
  {
    return static_cast<int64_t>(m_random() % static_cast<uint64_t>(aBelow));
  }
  bool Chance(double aProbability)
  {
    constexpr double kRange = 1e6;
    return static_cast<double>(Uniform(static_cast<int64_t>(kRange))) <
           aProbability * kRange;
  }
  base::TimePoint At(int64_t aMillis) const
  {
    constexpr int64_t kBootMillis = 1000000;
    return base::TimePoint(base::Millis(kBootMillis + aMillis));
  }

  void Restart(SimulatedEntry& aEntry)
  {
    const std::string process =
      std::to_string(std::distance(m_entries.data(), &aEntry));
    aEntry = SimulatedEntry();
    aEntry.m_process = process;
    aEntry.m_client = std::make_unique<PermitClient>(m_random());
    aEntry.m_name = std::to_string(m_random());
    aEntry.m_nextPoll = m_now + Uniform(kPollMillis);
    aEntry.m_lowerHeardAt = kLoweredAt + Uniform(kPollMillis);
  }

  void InjectFaults()
  {
    const Faults& faults = m_setting.m_faults;
    constexpr int64_t kNoControlFrom = 20000;
    constexpr int64_t kNoControlUntil = 30000;
    m_leads = m_now >= m_electionUntil &&
              !(faults.m_noControl && m_now >= kNoControlFrom &&
                m_now < kNoControlUntil);
    // Some leaders hand over at once, and changes come in series.
    if (faults.m_elections && Chance(0.002)) {
      m_issuer = PermitIssuer();
      m_electionUntil = m_now + Uniform(1900);
    }
    SimulatedEntry& victim =
      m_entries[static_cast<size_t>(Uniform(m_setting.m_entries))];
    constexpr double kRate = 0.003; // about one in two seconds
    if (faults.m_restarts && Chance(kRate)) {
      Restart(victim);
    }
    if (faults.m_freezes && Chance(kRate)) {
      victim.m_frozenUntil = m_now + Uniform(4000);
    }
    if (faults.m_lostLinks && Chance(kRate)) {
      victim.m_cutUntil = m_now + Uniform(8000);
    }
    if (faults.m_mostLoseControl && m_now == kMostLoseControlAt) {
      CutMost();
    }
  }

  void CutMost()
  {
    constexpr double kShare = 0.9;
    constexpr int64_t kCutMillis = 10000;
    for (SimulatedEntry& entry : m_entries) {
      if (Chance(kShare)) {
        entry.m_cutUntil = m_now + kCutMillis;
      }
    }
  }

  void Step(SimulatedEntry& aEntry)
  {
    if (aEntry.m_answerAt >= 0 && m_now >= aEntry.m_answerAt) {
      aEntry.m_answerAt = -1;
      aEntry.m_group = { m_setting.m_entries, At(m_now) };
      aEntry.m_client->Accept(aEntry.m_answer, At(aEntry.m_askedAt));
    }
    if (m_now >= aEntry.m_nextPoll) {
      Poll(aEntry);
    }
    aEntry.m_client->SetGroup(aEntry.m_group);
    constexpr double kStepsPerSecond = 1000.0 / kStepMillis;
    if (Chance(m_setting.m_demand / kStepsPerSecond)) {
      aEntry.m_waiting.push_back(m_now);
    }
    SendWaiting(aEntry);
  }

  // The bound that an entry knows that heard of a lower limit at aHeardAt.
  const RateBound& BoundSince(int64_t aHeardAt) const
  {
    const bool isLowered = m_setting.m_lowered && m_now >= aHeardAt;
    return isLowered ? *m_setting.m_lowered : m_setting.m_bound;
  }

  // Requests wait for a permit as they do at an entry whose upstreams are all
  // limited.
  void SendWaiting(SimulatedEntry& aEntry)
  {
    const RateBound& bound = BoundSince(aEntry.m_lowerHeardAt);
    std::deque<int64_t>& waiting = aEntry.m_waiting;
    if (m_now < aEntry.m_hearsAt) {
      waiting.clear();
      return;
    }
    while (!waiting.empty() && m_now - waiting.front() > kMaxWaitMillis) {
      waiting.pop_front();
    }
    for (const int64_t since : waiting) {
      if ((m_now - since) % kPollMillis == 0) {
        aEntry.m_client->AddDemand(bound, 1);
      }
    }
    while (!waiting.empty() && aEntry.m_client->Take(bound, At(m_now))) {
      waiting.pop_front();
      if (m_now >= aEntry.m_hearsAt + kHearingGraceMillis) {
        m_sent.push_back(m_now + Uniform(kMaxSendMillis));
      }
    }
  }

  void Poll(SimulatedEntry& aEntry)
  {
    aEntry.m_nextPoll = m_now + kPollMillis;
    const std::vector<PermitRequest> requests =
      aEntry.m_client->MakeRequests(At(m_now));
    if (!m_leads || m_now < aEntry.m_cutUntil) {
      return;
    }
    aEntry.m_answer.clear();
    m_issuer.RecordPoll(
      aEntry.m_process, aEntry.m_group.m_liveEntries, At(m_now));
    for (PermitRequest request : requests) {
      request.m_bound = BoundSince(kLoweredAt);
      const uint32_t count = m_issuer.Issue(aEntry.m_name, request, At(m_now));
      aEntry.m_answer.push_back({ request.m_bound.m_key, count });
    }
    aEntry.m_askedAt = m_now;
    aEntry.m_answerAt = m_now + Uniform(kMaxLatencyMillis);
  }

  const Setting m_setting;
  std::mt19937_64 m_random;
  std::vector<SimulatedEntry> m_entries;
  PermitIssuer m_issuer;
  bool m_leads = true;
  int64_t m_electionUntil = 0;
  int64_t m_now = 0;
  std::vector<int64_t> m_sent;
};

const std::vector<Faults> kAllFaults{
  {},
  { .m_restarts = true },
  { .m_freezes = true },
  { .m_lostLinks = true },
  { .m_elections = true },
  { .m_noControl = true },
  { .m_mostLoseControl = true },
  { true, true, true, true, true, true },
};
constexpr uint64_t kSeeds = 6;

// Calls aCheck for all faults and seeds.
template<typename Check>
void
ForAllFaults(Setting aSetting, Check aCheck)
{
  for (const Faults& faults : kAllFaults) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      aSetting.m_faults = faults;
      aSetting.m_seed = seed;
      aCheck(aSetting);
    }
  }
}

} // namespace

// Guards against entries that together exceed the request limit of an upstream,
// though each keeps its share: 1.5 times the limit and 5 requests in 4 s.
BOOST_AUTO_TEST_CASE(RequestLimitHoldsOverAllEntries)
{
  for (const uint32_t entries : { 1U, 8U, 30U, 60U }) {
    for (const double perSecond : { 0.25, 1.0, 3.5, 20.0 }) {
      Setting setting;
      setting.m_entries = entries;
      setting.m_bound = LimitBound(perSecond);
      ForAllFaults(setting, [&](const Setting& aSetting) {
        Simulation simulation(aSetting);
        (void)simulation.Run();
        BOOST_TEST(static_cast<double>(simulation.MostIn(4000)) <=
                     1.5 * perSecond * 4 + 5,
                   "entries " << entries << ", limit " << perSecond << ", seed "
                              << aSetting.m_seed << ", sent "
                              << simulation.MostIn(4000));
      });
    }
  }
}

// Guards against a bound that holds only if all entries learn of it at once:
// each of 30 entries hears it at another moment, and the sum holds over those
// that have heard it.
BOOST_AUTO_TEST_CASE(RequestLimitHoldsWhileEntriesHearItInTurn)
{
  for (const int64_t spread : { 1000, 5000, 50000 }) {
    for (const double perSecond : { 0.25, 3.5, 20.0 }) {
      Setting setting;
      setting.m_bound = LimitBound(perSecond);
      setting.m_hearingMillis = spread;
      ForAllFaults(setting, [&](const Setting& aSetting) {
        Simulation simulation(aSetting);
        (void)simulation.Run();
        BOOST_TEST(static_cast<double>(simulation.MostIn(4000)) <=
                     1.5 * perSecond * 4 + 5,
                   "spread " << spread << " ms, limit " << perSecond
                             << ", seed " << aSetting.m_seed << ", sent "
                             << simulation.MostIn(4000));
      });
    }
  }
}

// Guards against permits that were issued at a higher limit and are used after
// the upstream has lowered it.
BOOST_AUTO_TEST_CASE(LoweredRequestLimitHoldsOverAllEntries)
{
  constexpr double kBefore = 20;
  for (const uint32_t entries : { 8U, 30U }) {
    for (const double perSecond : { 0.25, 3.5 }) {
      for (const double demand : { 0.5, 2.0 }) {
        Setting setting;
        setting.m_entries = entries;
        setting.m_bound = LimitBound(kBefore);
        setting.m_lowered = LimitBound(perSecond);
        setting.m_demand = demand * kBefore / entries;
        ForAllFaults(setting, [&](const Setting& aSetting) {
          Simulation simulation(aSetting);
          (void)simulation.Run();
          const int64_t most =
            simulation.MostIn(4000, kLoweredAt + kHearingGraceMillis);
          BOOST_TEST(static_cast<double>(most) <= 1.5 * perSecond * 4 + 5,
                     "entries " << entries << ", limit " << perSecond
                                << ", demand " << demand << ", seed "
                                << aSetting.m_seed << ", sent " << most);
        });
      }
    }
  }
}

// Guards against entries that together send a cold upstream more than it
// tolerates in one second, because each of them may send one at once: 1.5 times
// its rate and 5 requests.
BOOST_AUTO_TEST_CASE(ColdRateHoldsOverAllEntries)
{
  constexpr double kColdRate = 16;
  for (const uint32_t entries : { 1U, 8U, 30U, 60U }) {
    Setting setting;
    setting.m_entries = entries;
    setting.m_bound = MakeColdBound({}, kColdRate);
    ForAllFaults(setting, [&](const Setting& aSetting) {
      Simulation simulation(aSetting);
      (void)simulation.Run();
      BOOST_TEST(simulation.MostIn(999) <= 1.5 * kColdRate + 5,
                 "entries " << entries << ", seed " << aSetting.m_seed
                            << ", sent " << simulation.MostIn(999));
    });
  }
}

// Guards against a limit that is kept by leaving its upstream idle: entries
// with enough requests use most of what it takes, however unevenly the requests
// are spread.
BOOST_AUTO_TEST_CASE(RequestLimitIsUsed)
{
  for (const uint32_t entries : { 1U, 8U, 30U }) {
    Setting setting;
    setting.m_entries = entries;
    setting.m_bound = LimitBound(3.5);
    setting.m_demand = 12.0 / entries;
    Simulation simulation(setting);
    const double perSecond =
      static_cast<double>(simulation.Run().size()) * 1000 / kSpanMillis;
    BOOST_TEST(perSecond >= 0.8 * setting.m_bound.m_perSecond,
               "entries " << entries << ", sent " << perSecond << " a second");
  }
}

// Guards against upstreams that get nothing while no control process leads.
BOOST_AUTO_TEST_CASE(RequestLimitIsUsedInPartWithoutControl)
{
  Setting setting;
  setting.m_entries = 8;
  setting.m_bound = LimitBound(3.5);
  setting.m_faults.m_noControl = true;
  Simulation simulation(setting);
  const std::vector<int64_t>& sent = simulation.Run();
  const auto within = std::count_if(sent.begin(), sent.end(), [](int64_t aAt) {
    return aAt >= 22000 && aAt < 30000; // no control from 20 s to 30 s
  });
  BOOST_TEST(static_cast<double>(within) >=
             0.25 * setting.m_bound.m_perSecond * 8);
}
