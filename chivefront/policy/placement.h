// Chooses an upstream for one attempt of a request, at an entry.
//
//   placement.Update({ .m_upstream = "e7", .m_domain = "riga-b",
//                      .m_route = "small-2", .m_limit = 8, ... }, now);
//   auto choice = placement.Choose({ .m_route = "small-2" }, usable, now);
//   if (!choice) ... queue the request ...
//   placement.OnSent(choice->m_upstream);
//   placement.OnFinished(choice->m_upstream, latency);
//
// Load reports are late, so the load of an upstream is the reported one plus
// this entry's own requests sent since the report. Not thread-safe.
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
  uint32_t m_queueRoom = 0; // requests the agent holds beyond the limit
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  bool m_leaving = false;
};

enum class PlacementRule
{
  RoundRobin, // without credits; a baseline for measurements
  TwoChoices,
  LeastOutstanding,
  ExpectedFinish,
};

struct PlacementSettings
{
  PlacementRule m_rule = PlacementRule::ExpectedFinish;
  std::string m_ownDomain;
  // How much later than in the own domain a request may be expected to finish
  // elsewhere before it stays, as a share of the mean service time.
  double m_domainPenalty = 0.02;
  // Saving of a cached prefix, as a share of the mean service time.
  double m_affinitySaving = 0.3;
  size_t m_prefixes = 4096; // remembered
  base::Millis m_returnRamp{ 10000 };
  double m_returnShare = 0.1; // of a returning domain at the start
};

struct PlacementRequest
{
  std::string_view m_route;
  uint64_t m_prefix = 0; // hash of the prompt's prefix or session; 0 for none
  const std::set<std::string>* m_tried = nullptr; // upstreams to avoid
  bool m_mayQueue = true; // whether waiting at the agent is acceptable
};

struct PlacementChoice
{
  std::string m_upstream;
  bool m_queues = false; // expected to wait at the agent
  bool m_affine = false; // chosen where the prefix is cached
  base::Millis m_expectedFinish;
};

class Placement
{
public:
  // Everything known about one upstream.
  struct Upstream
  {
    UpstreamReport m_report;
    base::TimePoint m_reportedAt;
    uint32_t m_inFlight = 0;        // own requests
    uint32_t m_sentSinceReport = 0; // own requests not yet in a report
    double m_serviceMs = 0;         // decayed mean, 0 before the first answer
    base::TimePoint m_avoidUntil;   // after a refusal
  };
  // False for upstreams that are out of service or not linked.
  using Usable = std::function<bool(const Upstream&)>;

  explicit Placement(PlacementSettings aSettings, uint64_t aSeed = 1);

  // A new or changed upstream, from the registry or a load report.
  void Update(const UpstreamReport& aReport, base::TimePoint aNow);
  void Remove(std::string_view aUpstream);
  // The domain came back into service: its share ramps up from now on.
  void OnDomainReturned(std::string_view aDomain, base::TimePoint aNow);

  // Nothing when no usable upstream has a credit left.
  std::optional<PlacementChoice> Choose(const PlacementRequest& aRequest,
                                        const Usable& aUsable,
                                        base::TimePoint aNow);

  void OnSent(std::string_view aUpstream, uint64_t aPrefix = 0);
  // aLatency of a completed answer; nothing after a failure.
  void OnFinished(std::string_view aUpstream,
                  std::optional<base::Millis> aLatency);
  // The agent refused the attempt; the upstream is avoided for a short time
  // unless aReport has already brought its true load.
  void OnRejected(std::string_view aUpstream, base::TimePoint aNow);

  // Null when not known.
  const Upstream* Find(std::string_view aUpstream) const;
  // Free credits of a route over all usable upstreams.
  uint32_t Credits(std::string_view aRoute,
                   const Usable& aUsable,
                   base::TimePoint aNow) const;

private:
  using Group = std::vector<Upstream*>;

  struct Scored
  {
    const Upstream* m_upstream = nullptr;
    double m_score = 0; // expected finish in units of the mean service time
    bool m_queues = false;
    bool m_affine = false;
  };

  Group Candidates(const PlacementRequest& aRequest,
                   const Usable& aUsable,
                   base::TimePoint aNow);
  Scored Score(const Upstream& aUpstream,
               const PlacementRequest& aRequest,
               double aMeanMs) const;
  double DomainShare(const std::string& aDomain, base::TimePoint aNow) const;
  const Upstream* AffineTo(uint64_t aPrefix) const;
  void Remember(uint64_t aPrefix, const std::string& aUpstream);
  double Uniform();

  const PlacementSettings m_settings;
  std::mt19937_64 m_random;
  std::map<std::string, Upstream, std::less<>> m_upstreams;
  std::map<std::string, Group, std::less<>> m_groups; // by route
  std::map<std::string, base::TimePoint, std::less<>> m_returned;
  std::unordered_map<uint64_t, std::string> m_prefixes;
  std::vector<uint64_t> m_prefixOrder; // ring, oldest at m_prefixNext
  size_t m_prefixNext = 0;
  uint64_t m_turn = 0; // of RoundRobin
};

} // namespace chivefront::policy
