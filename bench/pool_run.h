// State of one simulation of the pool model; see pool_model.h.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/pool_model.h"

namespace chivefront::bench::detail {

using catalog::CallerClass;
using policy::Placement;
using policy::UpstreamLimiter;

inline constexpr double kReportEveryMs = 100;
// Standard deviations of the logarithms of both times.
inline constexpr double kFirstTokenSigma = 0.3;
inline constexpr double kDecodeSigma = 0.5;

inline base::TimePoint
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
    uint32_t m_capacity = 0; // requests that it can run at once now
    uint32_t m_done = 0;
    std::unique_ptr<UpstreamLimiter> m_limiter;
    std::unique_ptr<policy::ClassQueue> m_queue;
    uint32_t m_running = 0;
    std::vector<uint64_t> m_prefixes; // cached prefixes, least recent first
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
  void ServeQueue(Entry& aEntry);
  void ArriveAtAgent(size_t aEngine, uint64_t aId);
  bool Start(size_t aEngine, uint64_t aId);
  void Finish(size_t aEngine, uint64_t aId, UpstreamLimiter::Ticket aTicket);
  void Report(size_t aEngine, Entry& aEntry) const;
  void ReportAll(size_t aEngine);
  void ScheduleDomainOutage();
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

} // namespace chivefront::bench::detail
