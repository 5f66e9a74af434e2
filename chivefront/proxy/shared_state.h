// State that all requests of one entry share: upstreams, retry budgets,
// evidence of roll-outs, and metrics.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "chivefront/base/decision_log.h"
#include "chivefront/base/metrics.h"
#include "chivefront/proxy/header_codec.h"
#include "chivefront/proxy/held_bytes.h"
#include "chivefront/proxy/load_counter.h"
#include "chivefront/proxy/upstreams.h"
#include "chivefront/routing/adaptive_timeout.h"
#include "chivefront/routing/budget.h"
#include "chivefront/routing/crash_evidence.h"
#include "chivefront/routing/latency_baselines.h"
#include "chivefront/routing/load_probes.h"
#include "chivefront/routing/reading_pace.h"
#include "chivefront/routing/slow_threshold.h"
#include "chivefront/site/watch.h"

namespace chivefront::proxy {

// Retry budget of all entries together. Each entry uses its share.
struct RetryBudgetLimits
{
  // Retries of a service in any window of m_window: at most m_ratio of its
  // requests, plus m_extra over all entries.
  double m_ratio = 0.1;
  double m_extra = 0;
  base::Millis m_window{ 10000 };
};

// Counts the successful and the failed responses of the old and the new version
// of each service with a roll-out in progress.
class RolloutEvidence
{
public:
  explicit RolloutEvidence(const site::Watch& aWatch)
    : m_watch(aWatch)
  {
  }

  void Record(const std::string& aService,
              const std::string& aVersion,
              bool aSucceeded);
  std::vector<wire::VersionEvidenceT> Rows() const;

private:
  // Start of the roll-out, row name.
  using RowKey = std::pair<uint64_t, std::string>;
  const site::Watch& m_watch;
  // Successful, failed.
  std::map<RowKey, std::pair<uint64_t, uint64_t>> m_counts;
};

// How a request can be retried after its first attempt is lost.
enum class RequestKind
{
  Idempotent, // the request is sent again
  Once,       // not at all
  Stream,     // resumed after its last event if the route allows it
};

inline constexpr base::NameTable<RequestKind, 3> kRequestKindNames{ {
  { { RequestKind::Idempotent, "idempotent" },
    { RequestKind::Once, "once" },
    { RequestKind::Stream, "stream" } },
} };

RequestKind
KindOf(const routing::Route& aRoute);

// Latency of the responses to one kind of request, in milliseconds.
struct ResponseLatency
{
  ResponseLatency(base::Metrics& aMetrics, RequestKind aKind);

  base::Histogram& m_toHead;
  base::Histogram& m_toEnd;
};

struct RequestMetrics
{
  explicit RequestMetrics(base::Metrics& aMetrics);
  ResponseLatency& LatencyOf(const routing::Route& aRoute);

  base::Counter& m_received;
  base::Counter& m_answered;
  base::Counter& m_refused;
  base::Counter& m_failed;
  base::Counter& m_callerLeft;
  base::Counter& m_retries;
  base::Counter& m_resumed;
  base::Counter& m_escalated;
  base::Counter& m_probes;
  ResponseLatency m_idempotentLatency;
  ResponseLatency m_onceLatency;
  ResponseLatency m_streamLatency;
};

struct SharedState
{
  const base::Clock& m_clock;
  const site::Watch& m_watch;
  Upstreams& m_upstreams;
  const HeaderCodec& m_headerCodec;
  RolloutEvidence& m_rolloutEvidence;
  routing::CrashEvidence& m_crashEvidence;
  base::DecisionLog& m_log;
  RequestMetrics& m_metrics;
  const std::shared_ptr<HeldBytes> m_heldBytes;
  const std::string m_domain; // failure domain of this entry
  const RetryBudgetLimits m_retryLimits;
  site::UsageReporter* m_usage = nullptr; // null: usage is not counted
  LoadCounter m_loads{};
  bool m_draining = false;
  base::TimePoint m_drainEnd; // while draining: when running requests are ended
  routing::LatencyBaselines m_baselines{};
  routing::SlowThreshold m_slowThreshold{}; // of answers, by route and model
  // Of events within a stream, by model.
  std::map<std::string, routing::AdaptiveTimeout> m_eventTimeouts{};
  routing::LoadProbes m_loadProbes{};
  routing::ReadingPace m_readingPace{};
  // By service.
  std::map<std::string, routing::WindowedRetryBudget> m_retryBudgets;

  routing::WindowedRetryBudget& RetryBudgetOf(const std::string& aService)
  {
    return m_retryBudgets
      .try_emplace(aService, m_retryLimits.m_ratio, m_retryLimits.m_window)
      .first->second;
  }
  double RetryExtraShare() const
  {
    return m_retryLimits.m_extra / m_watch.View().m_liveEntries;
  }
};

} // namespace chivefront::proxy
