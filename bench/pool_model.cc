// Event-driven simulation of the pool model: arrivals and entries.
#include "bench/pool_model.h"

#include <cmath>

#include "bench/pool_run.h"

namespace chivefront::bench {
namespace detail {
namespace {

constexpr double kSameDomainDelayMs = 0.2;  // one way within a domain
constexpr double kOtherDomainDelayMs = 0.6; // one way between domains
constexpr double kDrainGraceMs = 2000;
constexpr uint64_t kSessions = 400;
constexpr size_t kTeams = 6;

} // namespace

Pool::Pool(const PoolSettings& aSettings)
  : m_settings(aSettings)
  , m_random(aSettings.m_seed)
{
  m_rule.m_coldLimit = aSettings.m_coldLimit;
  m_rule.m_fullLimit = aSettings.m_fullLimit;
  for (size_t i = 0; i < aSettings.m_domains * aSettings.m_upstreamsPerDomain;
       ++i) {
    Engine engine;
    engine.m_name = "e" + std::to_string(i);
    engine.m_domain = i % aSettings.m_domains;
    engine.m_speed = Uniform() < aSettings.m_slowEngineShare ? 0.5 : 1;
    engine.m_capacity =
      aSettings.m_startsWarm ? aSettings.m_fullLimit : aSettings.m_coldLimit;
    auto rule = m_rule;
    if (aSettings.m_startsWarm) {
      rule.m_coldLimit = rule.m_fullLimit;
    }
    engine.m_limiter = std::make_unique<UpstreamLimiter>(rule);
    engine.m_limiter->SetRule(m_rule);
    engine.m_limiter->OnIncarnation("0", At(0));
    engine.m_queue =
      std::make_unique<policy::ClassQueue>(aSettings.m_agentQueue);
    m_byName[engine.m_name] = i;
    m_engines.push_back(std::move(engine));
  }
  for (size_t i = 0; i < aSettings.m_entries; ++i) {
    Entry entry;
    auto placement = aSettings.m_placement;
    placement.m_rule = aSettings.m_rule;
    placement.m_ownDomain = std::to_string(i % aSettings.m_domains);
    entry.m_placement =
      std::make_unique<Placement>(placement, aSettings.m_seed * 100 + i);
    entry.m_queue =
      std::make_unique<policy::ClassQueue>(aSettings.m_entryQueue);
    entry.m_admission.SetLiveEntries(static_cast<uint32_t>(aSettings.m_entries),
                                     At(0));
    m_entries.push_back(std::move(entry));
  }
}

void
Pool::After(double aMs, std::function<void()> aRun)
{
  m_events.push({ m_now + aMs, ++m_order, std::move(aRun) });
}

double
Pool::LogNormal(double aMedian, double aSigma)
{
  return std::lognormal_distribution<double>(std::log(aMedian),
                                             aSigma)(m_random);
}

// Requests per ms that all engines can finish when they are warm.
double
Pool::Capacity() const
{
  const auto mean = [](double aMedian, double aSigma) {
    return aMedian * std::exp(aSigma * aSigma / 2);
  };
  const double service =
    (mean(m_settings.m_firstTokenMs, kFirstTokenSigma) *
       (1 - m_settings.m_prefixShare * m_settings.m_prefixSaving) +
     mean(m_settings.m_decodeMs, kDecodeSigma)) *
    (1 + m_settings.m_slowdown);
  double slots = 0;
  for (const Engine& engine : m_engines) {
    slots += engine.m_speed * m_settings.m_fullLimit;
  }
  return slots / service;
}

void
Pool::ArriveNext(CallerClass aClass, double aPerMs)
{
  if (aPerMs <= 0) {
    return;
  }
  const double gap = std::exponential_distribution<double>(aPerMs)(m_random);
  After(gap, [this, aClass, aPerMs] {
    Arrive(aClass);
    ArriveNext(aClass, aPerMs);
  });
}

catalog::Team
Pool::TeamOf(const Request& aRequest) const
{
  catalog::Team team;
  team.m_id = (aRequest.m_class == CallerClass::Paying ? "p" : "f") +
              std::to_string(aRequest.m_team);
  team.m_class = aRequest.m_class;
  team.m_requestsPerSecond = 100000;
  team.m_concurrency = 100000;
  team.m_tokensPerMinute = 1000000000;
  return team;
}

CallerClass
Pool::QueueClass(const Request& aRequest) const
{
  return m_settings.m_usesClasses ? aRequest.m_class : CallerClass::Paying;
}

bool
Pool::Usable(const Entry& aEntry, const Placement::Upstream& aUpstream) const
{
  return !aEntry.m_domainOut || aUpstream.m_report.m_domain != "0";
}

void
Pool::Arrive(CallerClass aClass)
{
  Request request;
  request.m_id = ++m_nextId;
  request.m_class = aClass;
  // Two large teams send 70% of the requests.
  request.m_team =
    Uniform() < 0.7 ? m_random() % 2 : 2 + m_random() % (kTeams - 2);
  request.m_entry = m_random() % m_entries.size();
  request.m_prefix = Uniform() < m_settings.m_prefixShare
                       ? 1 + m_random() % kSessions
                       : kSessions + request.m_id;
  request.m_arrived = m_now;
  const bool measured = m_now >= m_settings.m_measureFromMs;
  const bool paying = aClass == CallerClass::Paying;
  if (measured) {
    ++(paying ? m_result.m_payingArrived : m_result.m_freeArrived);
  }
  Entry& entry = m_entries[request.m_entry];
  Request& kept = m_requests.emplace(request.m_id, request).first->second;
  if (m_settings.m_usesClasses) {
    policy::EntryLoad load;
    load.m_payingWaiting =
      static_cast<uint32_t>(entry.m_queue->Size(CallerClass::Paying));
    load.m_running = entry.m_running;
    for (const Engine& engine : m_engines) {
      const auto* known = entry.m_placement->Find(engine.m_name);
      load.m_capacity +=
        known != nullptr && Usable(entry, *known) ? known->m_report.m_limit : 0;
    }
    load.m_capacity /= static_cast<uint32_t>(m_entries.size());
    if (!entry.m_admission.TryAdmit(TeamOf(kept), 1000, load, At(m_now))
           .m_admitted) {
      Refuse(kept.m_id, false);
      return;
    }
  }
  ++entry.m_running;
  if (entry.m_queue->Size() > 0 || !TrySend(entry, kept)) {
    Enqueue(entry, kept);
    ServeQueue(entry);
  }
}

void
Pool::Refuse(uint64_t aId, bool aAdmitted)
{
  const auto found = m_requests.find(aId);
  const Request& request = found->second;
  Entry& entry = m_entries[request.m_entry];
  if (aAdmitted) {
    --entry.m_running;
    if (m_settings.m_usesClasses) {
      entry.m_admission.Finish(TeamOf(request), 1000, 0, At(m_now));
    }
  }
  if (request.m_arrived >= m_settings.m_measureFromMs) {
    ++(request.m_class == CallerClass::Paying ? m_result.m_payingRefused
                                              : m_result.m_freeRefused);
  }
  m_requests.erase(found);
}

void
Pool::Enqueue(Entry& aEntry, Request& aRequest)
{
  const policy::QueueItem item{
    aRequest.m_id,
    QueueClass(aRequest),
    m_settings.m_usesClasses ? std::to_string(aRequest.m_team) : "all",
    1,
    At(aRequest.m_arrived + m_settings.m_deadlineMs)
  };
  const auto pushed = aEntry.m_queue->Push(item, At(m_now));
  for (const uint64_t id : pushed.m_displaced) {
    Refuse(id, true);
  }
  if (!pushed.m_queued) {
    Refuse(aRequest.m_id, true);
  }
}

bool
Pool::TrySend(Entry& aEntry, Request& aRequest)
{
  policy::PlacementRequest wanted;
  wanted.m_route = "v";
  wanted.m_prefix = aRequest.m_prefix;
  wanted.m_tried = &aRequest.m_tried;
  // Free-tier requests use idle slots only, so that they never wait in an
  // agent's queue ahead of paying requests.
  wanted.m_mayQueue =
    m_settings.m_queuesAtAgents && aRequest.m_class == CallerClass::Paying;
  const auto choice = aEntry.m_placement->Choose(
    wanted,
    [&](const Placement::Upstream& aUpstream) {
      return Usable(aEntry, aUpstream);
    },
    At(m_now));
  if (!choice) {
    return false;
  }
  aEntry.m_placement->OnSent(choice->m_upstream, aRequest.m_prefix);
  const size_t engine = m_byName.at(choice->m_upstream);
  aRequest.m_tried.insert(choice->m_upstream);
  aRequest.m_sent = m_now;
  ++m_result.m_attempts;
  const size_t domain = m_engines[engine].m_domain;
  if (domain == 0 && m_domainOut &&
      m_now > m_settings.m_outMs + kDrainGraceMs) {
    ++m_result.m_sentToOutDomain;
  }
  const bool near = domain == aRequest.m_entry % m_settings.m_domains;
  After(near ? kSameDomainDelayMs : kOtherDomainDelayMs,
        [this, engine, id = aRequest.m_id] { ArriveAtAgent(engine, id); });
  return true;
}

void
Pool::ServeQueue(Entry& aEntry)
{
  for (const uint64_t id : aEntry.m_queue->TakeExpired(At(m_now))) {
    Refuse(id, true);
  }
  while (const policy::QueueItem* next = aEntry.m_queue->Peek(At(m_now))) {
    Request& request = m_requests.at(next->m_id);
    if (!TrySend(aEntry, request)) {
      return;
    }
    aEntry.m_queue->Pop(At(m_now));
  }
}

void
Pool::ScheduleDomainOutage()
{
  if (m_settings.m_outMs <= 0) {
    return;
  }
  const auto announceDomain = [this](bool aOut) {
    for (size_t i = 0; i < m_entries.size(); ++i) {
      After(m_settings.m_configLagMs * Uniform(), [this, i, aOut] {
        m_entries[i].m_domainOut = aOut;
        if (!aOut) {
          m_entries[i].m_placement->OnDomainReturned("0", At(m_now));
        }
        ServeQueue(m_entries[i]);
      });
    }
  };
  After(m_settings.m_outMs, [this, announceDomain] {
    m_domainOut = true;
    announceDomain(true);
  });
  After(m_settings.m_backMs, [this, announceDomain] {
    m_domainOut = false;
    // The engines of the domain were restarted during the outage and are cold.
    for (Engine& engine : m_engines) {
      if (engine.m_domain == 0) {
        engine.m_capacity = m_settings.m_coldLimit;
        engine.m_done = 0;
        engine.m_prefixes.clear();
        engine.m_limiter->OnIncarnation(std::to_string(++engine.m_incarnation),
                                        At(m_now));
      }
    }
    announceDomain(false);
  });
}

PoolResult
Pool::Run()
{
  for (size_t i = 0; i < m_engines.size(); ++i) {
    for (Entry& entry : m_entries) {
      Report(i, entry);
    }
    After(kReportEveryMs * Uniform(), [this, i] { ReportAll(i); });
  }
  ScheduleDomainOutage();
  const double capacity = Capacity();
  ArriveNext(CallerClass::Paying, capacity * m_settings.m_payingLoad);
  ArriveNext(CallerClass::Free, capacity * m_settings.m_freeLoad);
  while (!m_events.empty() && m_events.top().m_at < m_settings.m_runMs) {
    Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_run();
  }
  return std::move(m_result);
}

} // namespace detail

PoolResult
RunPool(const PoolSettings& aSettings)
{
  return detail::Pool(aSettings).Run();
}

} // namespace chivefront::bench
