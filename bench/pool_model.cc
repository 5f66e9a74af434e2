// Event-driven run of the pool model.
#include "bench/pool_model.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace chivefront::bench {
namespace {

using catalog::CallerClass;
using policy::Placement;
using policy::UpstreamLimiter;

constexpr double kReportEveryMs = 100;
constexpr double kFirstTokenSigma = 0.3; // of the logarithm
constexpr double kDecodeSigma = 0.5;
constexpr double kNearMs = 0.2; // one way within a domain
constexpr double kFarMs = 0.6;
constexpr double kDrainGraceMs = 2000;
constexpr uint32_t kWarmEvery = 3; // completions per step of true capacity
constexpr size_t kPrefixesPerEngine = 64;
constexpr uint64_t kSessions = 400;
constexpr size_t kTeams = 6;

base::TimePoint
At(double aMs)
{
  return base::TimePoint(base::Millis(static_cast<int64_t>(aMs)));
}

class Pool
{
public:
  explicit Pool(const PoolSettings& aSettings);
  PoolResult Run();

private:
  struct Request
  {
    uint64_t m_id = 0;
    CallerClass m_class = CallerClass::Paying;
    size_t m_team = 0;
    size_t m_entry = 0;
    uint64_t m_prefix = 0;
    double m_arrived = 0;
    double m_first = 0;
    double m_sent = 0;
    std::set<std::string> m_tried;
  };
  struct Engine
  {
    std::string m_name;
    size_t m_domain = 0;
    double m_speed = 1;
    uint32_t m_capacity = 0; // what it can run at once now
    uint32_t m_done = 0;
    std::unique_ptr<UpstreamLimiter> m_limiter;
    std::unique_ptr<policy::ClassQueue> m_queue;
    uint32_t m_running = 0;
    std::vector<uint64_t> m_prefixes; // recent ones, oldest first
    uint64_t m_incarnation = 0;
  };
  struct Entry
  {
    std::unique_ptr<Placement> m_placement;
    std::unique_ptr<policy::ClassQueue> m_queue;
    policy::Admission m_admission;
    uint32_t m_running = 0;
    bool m_domainOut = false;
  };
  struct Event
  {
    double m_at;
    uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };

  void After(double aMs, std::function<void()> aRun);
  double Uniform() { return m_uniform(m_random); }
  double LogNormal(double aMedian, double aSigma);
  double Capacity() const;
  void ArriveNext(CallerClass aClass, double aPerMs);
  void Arrive(CallerClass aClass);
  catalog::Team TeamOf(const Request& aRequest) const;
  CallerClass QueueClass(const Request& aRequest) const;
  bool Usable(const Entry& aEntry, const Placement::Upstream& aUpstream) const;
  void Refuse(uint64_t aId, bool aAdmitted);
  bool TrySend(Entry& aEntry, Request& aRequest);
  void Enqueue(Entry& aEntry, Request& aRequest);
  void Pump(Entry& aEntry);
  void ArriveAtAgent(size_t aEngine, uint64_t aId);
  void Start(size_t aEngine, uint64_t aId);
  void Finish(size_t aEngine, uint64_t aId, UpstreamLimiter::Ticket aTicket);
  void Report(size_t aEngine, Entry& aEntry) const;
  void ReportAll(size_t aEngine);
  void LeaveAndReturn();
  void Record(const Request& aRequest);

  const PoolSettings m_settings;
  std::mt19937_64 m_random;
  std::uniform_real_distribution<double> m_uniform{ 0, 1 };
  std::priority_queue<Event> m_events;
  uint64_t m_order = 0;
  double m_now = 0;
  std::vector<Engine> m_engines;
  std::vector<Entry> m_entries;
  std::unordered_map<uint64_t, Request> m_requests;
  std::map<std::string, size_t> m_byName;
  uint64_t m_nextId = 0;
  bool m_domainOut = false;
  catalog::UpstreamRule m_rule;
  PoolResult m_result;
};

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
    engine.m_speed = Uniform() < aSettings.m_slowEngines ? 0.5 : 1;
    engine.m_capacity =
      aSettings.m_warm ? aSettings.m_fullLimit : aSettings.m_coldLimit;
    auto rule = m_rule;
    if (aSettings.m_warm) {
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

// Requests per ms that all warm engines can just finish.
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
  return m_settings.m_classes ? aRequest.m_class : CallerClass::Paying;
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
  // Two large teams and some small ones.
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
  if (m_settings.m_classes) {
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
    Pump(entry);
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
    if (m_settings.m_classes) {
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
    m_settings.m_classes ? std::to_string(aRequest.m_team) : "all",
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
  // Free work takes free slots only; it never waits in front of paying work.
  wanted.m_mayQueue = aRequest.m_class == CallerClass::Paying;
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
    ++m_result.m_sentToOut;
  }
  const bool near = domain == aRequest.m_entry % m_settings.m_domains;
  After(near ? kNearMs : kFarMs,
        [this, engine, id = aRequest.m_id] { ArriveAtAgent(engine, id); });
  return true;
}

void
Pool::Pump(Entry& aEntry)
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
Pool::ArriveAtAgent(size_t aEngine, uint64_t aId)
{
  Engine& engine = m_engines[aEngine];
  Request& request = m_requests.at(aId);
  const bool full = engine.m_limiter->Running() >= engine.m_limiter->Limit();
  if (!m_settings.m_credits || (!full && engine.m_queue->Size() == 0)) {
    Start(aEngine, aId);
    return;
  }
  const policy::QueueItem item{ aId,
                                QueueClass(request),
                                std::to_string(request.m_team),
                                1,
                                At(request.m_arrived +
                                   m_settings.m_deadlineMs) };
  const auto pushed = engine.m_queue->Push(item, At(m_now));
  std::vector<uint64_t> back = pushed.m_displaced;
  if (!pushed.m_queued) {
    back.push_back(aId);
  }
  for (const uint64_t id : back) {
    ++m_result.m_rejected;
    Request& refused = m_requests.at(id);
    Entry& entry = m_entries[refused.m_entry];
    entry.m_placement->OnRejected(engine.m_name, At(m_now));
    Report(aEngine, entry);
    if (!TrySend(entry, refused)) {
      refused.m_tried.clear();
      Enqueue(entry, refused);
    }
  }
}

void
Pool::Start(size_t aEngine, uint64_t aId)
{
  Engine& engine = m_engines[aEngine];
  Request& request = m_requests.at(aId);
  UpstreamLimiter::Work work;
  work.m_stream = true;
  auto ticket = engine.m_limiter->TryAdmit(work, At(m_now));
  ++engine.m_running;
  if (engine.m_running > engine.m_capacity) {
    ++m_result.m_overSent;
  }
  auto& prefixes = engine.m_prefixes;
  const auto cached =
    std::find(prefixes.begin(), prefixes.end(), request.m_prefix);
  const bool hit = cached != prefixes.end();
  if (hit) {
    prefixes.erase(cached);
    ++m_result.m_affine;
  } else if (prefixes.size() >= kPrefixesPerEngine) {
    prefixes.erase(prefixes.begin());
  }
  prefixes.push_back(request.m_prefix);
  // Beyond its capacity an engine thrashes: speed falls with the excess.
  const double load =
    static_cast<double>(engine.m_running) / m_settings.m_fullLimit;
  const double excess =
    std::max(1.0, static_cast<double>(engine.m_running) / engine.m_capacity);
  const double factor = (1 + m_settings.m_slowdown * std::min(load, 1.0)) *
                        excess * excess / engine.m_speed;
  const double first = LogNormal(m_settings.m_firstTokenMs, kFirstTokenSigma) *
                       factor * (hit ? 1 - m_settings.m_prefixSaving : 1);
  const double rest = LogNormal(m_settings.m_decodeMs, kDecodeSigma) * factor;
  request.m_first = m_now + first;
  auto shared = std::make_shared<UpstreamLimiter::Ticket>(
    ticket.value_or(UpstreamLimiter::Ticket{}));
  After(first, [this, aEngine, shared] {
    m_engines[aEngine].m_limiter->OnFirstByte(*shared, At(m_now));
  });
  After(first + rest,
        [this, aEngine, aId, shared] { Finish(aEngine, aId, *shared); });
}

void
Pool::Finish(size_t aEngine, uint64_t aId, UpstreamLimiter::Ticket aTicket)
{
  Engine& engine = m_engines[aEngine];
  --engine.m_running;
  if (++engine.m_done % kWarmEvery == 0) {
    engine.m_capacity = std::min(engine.m_capacity + 1, m_settings.m_fullLimit);
  }
  engine.m_limiter->Finish(
    aTicket, UpstreamLimiter::Result::Success, At(m_now));
  Request& request = m_requests.at(aId);
  Entry& entry = m_entries[request.m_entry];
  --entry.m_running;
  entry.m_placement->OnFinished(
    engine.m_name, base::Millis(static_cast<int64_t>(m_now - request.m_sent)));
  if (m_settings.m_classes) {
    entry.m_admission.Finish(TeamOf(request), 1000, 1000, At(m_now));
  }
  Record(request);
  m_requests.erase(aId);
  while (engine.m_limiter->Running() < engine.m_limiter->Limit()) {
    const auto next = engine.m_queue->Pop(At(m_now));
    if (!next) {
      break;
    }
    Start(aEngine, next->m_id);
  }
  for (const uint64_t id : engine.m_queue->TakeExpired(At(m_now))) {
    Refuse(id, true);
  }
  // The end of an answer carries the load at once.
  Report(aEngine, entry);
  Pump(entry);
}

void
Pool::Record(const Request& aRequest)
{
  if (aRequest.m_arrived < m_settings.m_measureFromMs) {
    return;
  }
  if (aRequest.m_class == CallerClass::Free) {
    m_result.m_freeMs.push_back(m_now - aRequest.m_arrived);
    return;
  }
  const double first = aRequest.m_first - aRequest.m_arrived;
  m_result.m_payingMs.push_back(m_now - aRequest.m_arrived);
  m_result.m_payingFirstMs.push_back(first);
  if (m_settings.m_outMs > 0 && aRequest.m_arrived >= m_settings.m_outMs) {
    m_result.m_firstDuringMs.push_back(first);
  }
}

void
Pool::Report(size_t aEngine, Entry& aEntry) const
{
  const Engine& engine = m_engines[aEngine];
  policy::UpstreamReport report;
  report.m_upstream = engine.m_name;
  report.m_domain = std::to_string(engine.m_domain);
  report.m_route = "v";
  report.m_limit = engine.m_limiter->Limit();
  report.m_queueRoom = m_settings.m_agentQueue;
  report.m_running = engine.m_running;
  report.m_queued = static_cast<uint32_t>(engine.m_queue->Size());
  aEntry.m_placement->Update(report, At(m_now));
}

void
Pool::ReportAll(size_t aEngine)
{
  // The state now, seen by the entries after the lag. Own requests sent in
  // the meantime are counted twice for that long, which errs towards safety.
  const Engine& engine = m_engines[aEngine];
  policy::UpstreamReport report;
  report.m_upstream = engine.m_name;
  report.m_domain = std::to_string(engine.m_domain);
  report.m_route = "v";
  report.m_limit = engine.m_limiter->Limit();
  report.m_queueRoom = m_settings.m_agentQueue;
  report.m_running = engine.m_running;
  report.m_queued = static_cast<uint32_t>(engine.m_queue->Size());
  After(m_settings.m_reportLagMs, [this, report] {
    for (Entry& entry : m_entries) {
      entry.m_placement->Update(report, At(m_now));
      Pump(entry);
    }
  });
  After(kReportEveryMs, [this, aEngine] { ReportAll(aEngine); });
}

void
Pool::LeaveAndReturn()
{
  if (m_settings.m_outMs <= 0) {
    return;
  }
  const auto tell = [this](bool aOut) {
    for (size_t i = 0; i < m_entries.size(); ++i) {
      After(m_settings.m_configLagMs * Uniform(), [this, i, aOut] {
        m_entries[i].m_domainOut = aOut;
        if (!aOut) {
          m_entries[i].m_placement->OnDomainReturned("0", At(m_now));
        }
        Pump(m_entries[i]);
      });
    }
  };
  After(m_settings.m_outMs, [this, tell] {
    m_domainOut = true;
    tell(true);
  });
  After(m_settings.m_backMs, [this, tell] {
    m_domainOut = false;
    // Its engines were restarted in the meantime and are cold.
    for (Engine& engine : m_engines) {
      if (engine.m_domain == 0) {
        engine.m_capacity = m_settings.m_coldLimit;
        engine.m_done = 0;
        engine.m_prefixes.clear();
        engine.m_limiter->OnIncarnation(std::to_string(++engine.m_incarnation),
                                        At(m_now));
      }
    }
    tell(false);
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
  LeaveAndReturn();
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

} // namespace

PoolResult
RunPool(const PoolSettings& aSettings)
{
  return Pool(aSettings).Run();
}

} // namespace chivefront::bench
