// Which share of the requests leaves a failure domain, under several loads. A
// small model of the domains closes the loop: requests that leave make the own
// domain faster and the other one slower, and are seen late.
#define BOOST_TEST_MODULE routing_domain_choice
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>

#include "chivefront/routing/choice.h"
#include "chivefront/routing/domain_choice.h"
#include "chivefront/routing/round_trips.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr base::Millis kTick{ 200 };
constexpr double kTickSeconds = 0.2;
// Updates that pass until an entry sees what requests have caused.
constexpr size_t kReportDelay = 5;
constexpr int kTickets = 100;

// Requests of a domain's callers per second, and what its upstreams serve.
struct ModelDomain
{
  std::string m_name;
  double m_arrivals = 0;
  double m_capacity = 100;
  double m_roundTripMs = 2;
  double m_slowdown = 1;
  double m_sent = 0; // requests per second that its upstreams get
  double m_queue = 0;

  double Rate() const { return m_capacity / m_slowdown; }
  double Use() const { return std::min(1.0, m_sent / Rate()); }
  double DelayMs() const
  {
    return 50 * (m_slowdown - 1) + 120 * Use() * m_slowdown +
           1000 * m_queue / Rate();
  }
  DomainSummary Summary() const
  {
    return { m_name, DelayMs(), m_queue > 0 ? 0 : 1 - Use(), m_roundTripMs };
  }
};

// The entries of all domains; those of one domain act alike.
class Model
{
public:
  explicit Model(std::vector<ModelDomain> aDomains)
    : m_domains(std::move(aDomains))
  {
    for (const ModelDomain& domain : m_domains) {
      m_choices.emplace_back(domain.m_name);
    }
  }

  void Run(double aSeconds)
  {
    for (double left = aSeconds; left > kTickSeconds / 2;
         left -= kTickSeconds) {
      Step();
    }
  }

  ModelDomain& operator[](size_t aIndex) { return m_domains[aIndex]; }
  // Share of the requests of domain 0 that left in the last tick, and its
  // largest change from one tick to the next.
  double Left() const { return m_left; }
  double LargestChange() const { return m_largestChange; }
  // Lowest and highest share since the last call.
  std::pair<double, double> TakeRange()
  {
    const auto range = m_range;
    m_range = { m_left, m_left };
    return range;
  }

private:
  void Step()
  {
    std::vector<DomainSummary> summaries;
    for (const ModelDomain& domain : m_domains) {
      summaries.push_back(domain.Summary());
    }
    m_reports.push_back(summaries);
    if (m_reports.size() > kReportDelay) {
      m_reports.pop_front();
    }
    m_now = m_now + kTick;
    std::vector<double> sent(m_domains.size(), 0);
    for (size_t from = 0; from < m_domains.size(); ++from) {
      m_choices[from].Update(m_reports.front(), m_now);
      double left = 0;
      for (int i = 0; i < kTickets; ++i) {
        const size_t to = Choose(from, (i + 0.5) / kTickets);
        sent[to] += m_domains[from].m_arrivals / kTickets;
        left += to != from ? 1.0 / kTickets : 0;
      }
      if (from == 0) {
        m_largestChange = std::max(m_largestChange, std::abs(left - m_left));
        m_left = left;
        m_range = { std::min(m_range.first, left),
                    std::max(m_range.second, left) };
      }
    }
    for (size_t i = 0; i < m_domains.size(); ++i) {
      ModelDomain& domain = m_domains[i];
      domain.m_sent = sent[i];
      domain.m_queue = std::max(
        0.0, domain.m_queue + (sent[i] - domain.Rate()) * kTickSeconds);
    }
  }

  size_t Choose(size_t aFrom, double aTicket) const
  {
    size_t best = aFrom;
    double bestDelay = 0;
    for (size_t i = 0; i < m_domains.size(); ++i) {
      const DomainSummary& summary = m_reports.front()[i];
      const double delay =
        summary.m_delayMs +
        m_choices[aFrom].PenaltyMs(summary.m_domain, { 3000, aTicket }, m_now);
      if (i == 0 || delay < bestDelay) {
        best = i;
        bestDelay = delay;
      }
    }
    return best;
  }

  std::vector<ModelDomain> m_domains;
  std::vector<DomainChoice> m_choices;
  std::deque<std::vector<DomainSummary>> m_reports;
  base::TimePoint m_now{ base::Millis(1000) };
  double m_left = 0;
  double m_largestChange = 0;
  std::pair<double, double> m_range{ 0, 0 };
};

// The share moves by at most this from one update to the next.
constexpr double kMaxTickChange = 0.15 * kTickSeconds + 1.0 / kTickets;

} // namespace

// Guards against requests that queue in a full domain beside a free one, and
// against entries that leave all at once or go to and fro.
BOOST_AUTO_TEST_CASE(OwnDomainFull)
{
  Model model({ { "a", 130 }, { "b", 20 } });
  model.Run(40);
  (void)model.TakeRange();
  model.Run(40);
  const auto [least, most] = model.TakeRange();
  BOOST_TEST(model[0].DelayMs() < 300, model[0].DelayMs());
  BOOST_TEST(least > 0.1, least);
  BOOST_TEST(most < 0.5, most);
  BOOST_TEST(model.LargestChange() <= kMaxTickChange);
  BOOST_TEST(most - least <= 0.1); // no oscillation
  BOOST_TEST(model[1].DelayMs() < model[0].DelayMs());
  // It comes back when there is room.
  model[0].m_arrivals = 50;
  model.Run(25);
  BOOST_TEST(model.Left() == 0);
}

// Guards against a domain whose hosts are slow and that keeps its requests
// because its slots are free.
BOOST_AUTO_TEST_CASE(OwnDomainSlow)
{
  Model model({ { "a", 20 }, { "b", 20 } });
  model[0].m_slowdown = 4;
  model.Run(20);
  BOOST_TEST(model.Left() > 0.5, model.Left());
  BOOST_TEST(model.LargestChange() <= kMaxTickChange);
  model[0].m_slowdown = 1;
  model.Run(25);
  BOOST_TEST(model.Left() == 0);
}

// Guards against requests that leave an empty domain.
BOOST_AUTO_TEST_CASE(OwnDomainEmptyBesideAFullOne)
{
  Model model({ { "a", 20 }, { "b", 130 } });
  model.Run(60);
  // While too many come from b for a moment, a few leave.
  BOOST_TEST(model.TakeRange().second <= 0.05);
  model.Run(60);
  BOOST_TEST(model.TakeRange().second == 0);
}

// Guards against a queue at the warm half of a domain's upstreams.
BOOST_AUTO_TEST_CASE(HalfOfOwnDomainCold)
{
  Model model({ { "a", 45, 40 }, { "b", 30, 80 } });
  model.Run(60);
  BOOST_TEST(model[0].DelayMs() < 300, model[0].DelayMs());
  (void)model.TakeRange();
  model.Run(30);
  const auto [least, most] = model.TakeRange();
  BOOST_TEST(most - least <= 0.2, most - least);
  model[0].m_capacity = 80;
  model.Run(40);
  BOOST_TEST(model.Left() == 0);
}

// Guards against traffic between domains that follows each change of a load
// that alternates faster than it is seen.
BOOST_AUTO_TEST_CASE(FlappingLoadMovesFewRequests)
{
  Model model({ { "a", 20 }, { "b", 20 } });
  for (int i = 0; i < 40; ++i) {
    model[0].m_slowdown = i % 2 == 0 ? 3 : 1;
    model.Run(1);
    if (i == 20) {
      (void)model.TakeRange();
    }
  }
  const auto [least, most] = model.TakeRange();
  BOOST_TEST(most - least <= 0.2, most - least);
  BOOST_TEST(model.LargestChange() <= kMaxTickChange);
}

// Guards against requests that leave one full domain for another full one.
BOOST_AUTO_TEST_CASE(ThreeDomainsWithOneFull)
{
  Model model({ { "a", 20 }, { "b", 20 }, { "c", 150 } });
  model.Run(60);
  (void)model.TakeRange();
  model.Run(60);
  BOOST_TEST(model.TakeRange().second == 0); // a stays at home
  BOOST_TEST(model[2].DelayMs() < 300, model[2].DelayMs());
  BOOST_TEST(std::abs(model[0].DelayMs() - model[1].DelayMs()) < 50);
  Model full({ { "a", 120 }, { "b", 120 }, { "c", 20 } });
  full.Run(80);
  BOOST_TEST(full[0].DelayMs() < 300, full[0].DelayMs());
  BOOST_TEST(full[1].DelayMs() < 300, full[1].DelayMs());
}

// Guards against a link that has become slow and still carries requests.
BOOST_AUTO_TEST_CASE(NarrowedLinkKeepsRequests)
{
  Model model({ { "a", 20 }, { "b", 20 } });
  model[0].m_slowdown = 3; // 150 ms against 50 ms
  model.Run(20);
  BOOST_TEST(model.Left() > 0.3, model.Left());
  model[1].m_roundTripMs = 400;
  model.Run(25);
  BOOST_TEST(model.Left() == 0);
  BOOST_TEST(model.LargestChange() <= kMaxTickChange);
}

// Guards against long requests that cross for a small gain, as their bytes are
// charged.
BOOST_AUTO_TEST_CASE(BytesAreCharged)
{
  DomainChoice choice("a");
  choice.Update({ { "a", 50 }, { "b", 50 } }, base::TimePoint());
  const auto penalty = [&](double aBytes) {
    return choice.PenaltyMs("b", { aBytes, 0.5 }, base::TimePoint());
  };
  BOOST_TEST(penalty(12000) - penalty(0) == 10);
  BOOST_TEST(choice.PenaltyMs("a", { 12000, 0.5 }, base::TimePoint()) == 0);
}

// Guards against the round trip within a domain that counts as distance, an
// unknown one that counts as none, and a link that has recovered unseen.
BOOST_AUTO_TEST_CASE(RoundTripsAreRelativeToOwnDomain)
{
  const base::TimePoint now;
  RoundTrips trips;
  trips.Record("b", 4, now);
  BOOST_TEST(trips.BeyondOwnMs("a", "b", now) == 0);
  trips.Record("a", 1, now);
  BOOST_TEST(trips.BeyondOwnMs("a", "b", now) == 3);
  BOOST_TEST(trips.BeyondOwnMs("b", "a", now) > 0);
  for (int i = 0; i < 50; ++i) {
    trips.Record("b", 401, now); // the link has become narrow
  }
  BOOST_TEST(trips.BeyondOwnMs("a", "b", now) > 350);
  const base::TimePoint later = now + base::Millis(21000);
  BOOST_TEST(trips.BeyondOwnMs("a", "b", later) == 0);
  trips.Record("b", 4, later);
  BOOST_TEST(trips.BeyondOwnMs("a", "b", later) == 3);
}

// Guards against entries of one domain that keep different shares because one
// of them started later.
BOOST_AUTO_TEST_CASE(EntriesAgree)
{
  DomainChoice older("a");
  DomainChoice younger("a");
  const std::vector<DomainSummary> summaries = { { "a", 120, 0.1 },
                                                 { "b", 80 } };
  base::TimePoint now;
  for (int i = 0; i < 200; ++i, now = now + kTick) {
    older.Update(i < 50 ? std::vector<DomainSummary>{ { "a", 900 }, { "b", 9 } }
                        : summaries,
                 now);
    if (i >= 50) {
      younger.Update(summaries, now);
    }
  }
  BOOST_TEST(older.Share("b", now) > 0.1);
  BOOST_TEST(std::abs(older.Share("b", now) - younger.Share("b", now)) < 0.01);
}

// Guards against requests that wait for the share to rise when the own domain
// has no upstream any more, or when nothing is known.
BOOST_AUTO_TEST_CASE(AllLeaveADomainWithoutUpstreams)
{
  DomainChoice choice("a");
  BOOST_TEST(choice.Share("b", base::TimePoint()) == 1);
  choice.Update({ { "a", 50 }, { "b", 50 } }, base::TimePoint());
  BOOST_TEST(choice.Share("b", base::TimePoint()) == 0);
  choice.Update({ { "b", 50 } }, base::TimePoint());
  BOOST_TEST(choice.Share("b", base::TimePoint()) == 1);
}

// Guards against a choice of upstreams that leaves the decision out, and
// against a decision that hides what is special about one upstream.
BOOST_AUTO_TEST_CASE(ChoiceOfUpstreamsFollowsTheShare)
{
  const base::TimePoint now{ base::Millis(100000) };
  std::vector<Instance> instances(4);
  std::vector<UpstreamEstimate> estimates(4);
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < instances.size(); ++i) {
    instances[i].m_id = std::to_string(i);
    instances[i].m_domain = i < 2 ? "a" : "b";
    estimates[i].OnLoad(i < 2 ? 60 : 0, 0, now);
    candidates.push_back({ &instances[i], &estimates[i], 64 });
  }
  DomainChoice domains("a");
  domains.Update(SummarizeDomains(candidates, now), now);
  ChoiceCriteria criteria;
  criteria.m_ownDomain = "a";
  criteria.m_domainChoice = &domains;
  criteria.m_crossing = { 0, 0.05 };
  // The share rises from 0, so at first all stay in the loaded domain.
  BOOST_TEST(ChooseUpstream(candidates, criteria, now) < 2U);
  criteria.m_sharedParts = { { "m/lead", 15000 } };
  estimates[3].OnPromptPartSent("m/lead", now);
  BOOST_TEST(ChooseUpstream(candidates, criteria, now) == 3U);
  criteria.m_sharedParts.clear();
  base::TimePoint later = now;
  for (int i = 0; i < 5; ++i) {
    later = later + kTick;
    domains.Update(SummarizeDomains(candidates, later), later);
  }
  BOOST_TEST(ChooseUpstream(candidates, criteria, later) >= 2U);
  criteria.m_crossing.m_ticket = 0.95;
  BOOST_TEST(ChooseUpstream(candidates, criteria, later) < 2U);
}
