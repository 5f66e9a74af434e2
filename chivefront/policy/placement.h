// Chooses an upstream for one attempt of a request, at an entry.
//
//   placement.Update({ .m_upstream = "e7", .m_domain = "riga-b",
//                      .m_route = "small-2", .m_limit = 8, ... }, now);
//   auto choice = placement.Choose({ .m_route = "small-2" }, usable, now);
//   if (!choice) ... queue the request ...
//   placement.OnSent(choice->m_upstream);
//   placement.OnFinished(choice->m_upstream, latency);
//
// Load reports arrive late, so the load of an upstream is the reported load
// plus the requests that this entry has sent since the report. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chivefront/base/clock.h"

namespace chivefront::policy {

// What an agent reports about one of its upstreams.
struct UpstreamReport
{
  std::string m_upstream;
  std::string m_domain;
  std::string m_route; // version or service id
  uint32_t m_limit = 1;
  uint32_t m_queueRoom = 0; // requests that the agent queues above the limit
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  bool m_leaving = false; // drains before it goes out of service
};

enum class PlacementRule
{
  RoundRobin, // ignores credits; a baseline for measurements
  TwoChoices,
  LeastOutstanding,
  ExpectedFinish,
};

struct PlacementSettings
{
  PlacementRule m_rule = PlacementRule::ExpectedFinish;
  std::string m_ownDomain;
  // Added to the expected finish in other domains than m_ownDomain, as a share
  // of the mean service time.
  double m_domainPenalty = 0.02;
  // Time saved by a cached prefix, as a share of the mean service time.
  double m_affinitySaving = 0.3;
  size_t m_maxPrefixes = 4096; // whose upstreams are stored
  // The share of requests that a returning domain may receive rises linearly
  // from m_returnInitialShare, by 1 in m_returnRamp.
  base::Millis m_returnRamp{ 10000 };
  double m_returnInitialShare = 0.1;
};

struct PlacementRequest
{
  std::string_view m_route;
  uint64_t m_prefix = 0; // hash of the prompt prefix or session; 0 for none
  const std::set<std::string>* m_tried = nullptr; // upstreams to skip
  bool m_mayQueue = true; // whether waiting at the agent is acceptable
};

struct PlacementChoice
{
  std::string m_upstream;
  bool m_queues = false;         // the request is expected to wait at the agent
  bool m_affine = false;         // the upstream has the prefix cached
  base::Millis m_expectedFinish; // from now
};

class Placement
{
public:
  // The reported and the measured state of one upstream.
  struct Upstream
  {
    UpstreamReport m_report;
    base::TimePoint m_reportedAt;
    // Requests of this entry.
    uint32_t m_inFlight = 0;
    uint32_t m_sentSinceReport = 0; // in flight and not in m_report
    double m_serviceMs = 0; // decayed mean latency, 0 before the first answer
    base::TimePoint m_avoidUntil; // set when the agent refuses an attempt
  };
  // False for upstreams that are out of service or have no connection.
  using Usable = std::function<bool(const Upstream&)>;

  explicit Placement(PlacementSettings aSettings, uint64_t aSeed = 1);

  // Adds an upstream or replaces its report, from the registry or a load
  // report.
  void Update(const UpstreamReport& aReport, base::TimePoint aNow);
  void Remove(std::string_view aUpstream);
  // The domain has returned into service; its share ramps up from aNow.
  void OnDomainReturned(std::string_view aDomain, base::TimePoint aNow);

  // Nothing if no usable upstream has a credit left.
  std::optional<PlacementChoice> Choose(const PlacementRequest& aRequest,
                                        const Usable& aUsable,
                                        base::TimePoint aNow);

  void OnSent(std::string_view aUpstream, uint64_t aPrefix = 0);
  // aLatency is that of a complete answer; nothing after a failure.
  void OnFinished(std::string_view aUpstream,
                  std::optional<base::Millis> aLatency);
  // The agent refused the attempt. The upstream is avoided for a short time,
  // until a new report can be expected.
  void OnRejected(std::string_view aUpstream, base::TimePoint aNow);

  // Null for an upstream without a report.
  const Upstream* Find(std::string_view aUpstream) const;
  // Sum of free credits over all usable upstreams of a route.
  uint32_t Credits(std::string_view aRoute,
                   const Usable& aUsable,
                   base::TimePoint aNow) const;

private:
  using Group = std::vector<Upstream*>;

  struct ScoredUpstream
  {
    const Upstream* m_upstream = nullptr;
    // Lower is better: the expected finish in units of the mean service time,
    // or the load relative to the limit, by the rule.
    double m_score = 0;
    bool m_queues = false;
    bool m_affine = false;
  };

  // Usable upstreams of the route with credits, without those of returning
  // domains beyond their share.
  Group Candidates(const PlacementRequest& aRequest,
                   const Usable& aUsable,
                   base::TimePoint aNow);
  ScoredUpstream Score(const Upstream& aUpstream,
                       const PlacementRequest& aRequest,
                       double aMeanMs) const;
  // Share of requests for which the domain may be chosen, at most 1.
  double DomainShare(const std::string& aDomain, base::TimePoint aNow) const;
  // The upstream that has aPrefix cached, or null.
  const Upstream* AffineTo(uint64_t aPrefix) const;
  void StorePrefix(uint64_t aPrefix, const std::string& aUpstream);
  double Uniform();

  const PlacementSettings m_settings;
  std::mt19937_64 m_random;
  std::map<std::string, Upstream, std::less<>> m_upstreams;
  std::map<std::string, Group, std::less<>> m_groups;             // by route
  std::map<std::string, base::TimePoint, std::less<>> m_returned; // by domain
  std::unordered_map<uint64_t, std::string> m_prefixes; // prefix to upstream
  // The keys of m_prefixes as a ring buffer, oldest at m_oldestPrefix.
  std::vector<uint64_t> m_prefixOrder;
  size_t m_oldestPrefix = 0;
  uint64_t m_roundRobin = 0; // choices made by RoundRobin
};

} // namespace chivefront::policy
