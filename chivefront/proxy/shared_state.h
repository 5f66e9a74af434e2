// What all requests of an entry share.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "chivefront/base/decision_log.h"
#include "chivefront/base/metrics.h"
#include "chivefront/proxy/header_codec.h"
#include "chivefront/proxy/upstreams.h"
#include "chivefront/routing/budget.h"
#include "chivefront/routing/latency_baselines.h"
#include "chivefront/site/watch.h"

namespace chivefront::proxy {

// Bounds that all entries keep together; each keeps its share.
struct RetryBudgetLimits
{
  // Repeats at a service in any window of m_window, as a part of the
  // requests for it, and beyond that over all entries.
  double m_ratio = 0.1;
  double m_extra = 0;
  base::Millis m_window{ 10000 };
};

// Counts good and bad answers of the versions of each service that is being
// rolled out.
class Evidence
{
public:
  explicit Evidence(const site::Watch& aWatch)
    : m_watch(aWatch)
  {
  }

  void Note(const std::string& aService,
            const std::string& aVersion,
            bool aGood);
  std::vector<wire::VersionEvidenceT> Rows() const;

private:
  using RowKey = std::pair<uint64_t, std::string>; // order time, row name
  const site::Watch& m_watch;
  std::map<RowKey, std::pair<uint64_t, uint64_t>> m_counts; // good, bad
};

// What may be done again with a request whose first attempt is lost.
enum class RequestKind
{
  Idempotent, // sent again
  Once,       // nothing
  Stream,     // goes on after its last event, if the route allows it
};

inline constexpr base::NameTable<RequestKind, 3> kRequestKindNames{ {
  { { RequestKind::Idempotent, "idempotent" },
    { RequestKind::Once, "once" },
    { RequestKind::Stream, "stream" } },
} };

RequestKind
KindOf(const routing::Route& aRoute);

// Times of the answers to one kind of request, in milliseconds.
struct AnswerTimes
{
  AnswerTimes(base::Metrics& aMetrics, RequestKind aKind);

  base::Histogram& m_toHead;
  base::Histogram& m_toEnd;
};

struct RequestMetrics
{
  explicit RequestMetrics(base::Metrics& aMetrics);
  AnswerTimes& TimesOf(const routing::Route& aRoute);

  base::Counter& m_received;
  base::Counter& m_answered;
  base::Counter& m_refused;
  base::Counter& m_failed;
  base::Counter& m_callerLeft;
  base::Counter& m_repeats;
  base::Counter& m_resumed;
  base::Counter& m_escalated;
  AnswerTimes m_idempotentTimes;
  AnswerTimes m_onceTimes;
  AnswerTimes m_streamTimes;
};

struct EntryParts
{
  const base::Clock& m_clock;
  const site::Watch& m_watch;
  Upstreams& m_upstreams;
  const HeaderCodec& m_headerCodec;
  Evidence& m_evidence;
  base::DecisionLog& m_log;
  RequestMetrics& m_metrics;
  const std::string m_domain; // failure domain of this entry
  const RetryBudgetLimits m_retryLimits;
  bool m_draining = false;
  routing::LatencyBaselines m_baselines{};
  std::map<std::string, routing::WindowedRetryBudget> m_repeats; // by service

  routing::WindowedRetryBudget& RepeatsOf(const std::string& aService)
  {
    return m_repeats
      .try_emplace(aService, m_retryLimits.m_ratio, m_retryLimits.m_window)
      .first->second;
  }
  double RepeatExtra() const
  {
    return m_retryLimits.m_extra / m_watch.View().m_liveEntries;
  }
};

} // namespace chivefront::proxy
