// Evidence of roll-outs, and metrics of an entry.
#include "chivefront/proxy/shared_state.h"

namespace chivefront::proxy {

void
RolloutEvidence::Record(const std::string& aService,
                        const std::string& aVersion,
                        bool aSucceeded)
{
  const auto& rollouts = m_watch.View().m_rollouts;
  const auto found = rollouts.find(aService);
  if (found == rollouts.end() ||
      found->second.m_stage != site::RolloutStage::InProgress) {
    return;
  }
  const site::Rollout& rollout = found->second;
  const bool isNew = aVersion == rollout.m_version;
  const std::string row = aService + "/" + (isNew ? aVersion : "*");
  auto& counts = m_counts[{ static_cast<uint64_t>(rollout.m_orderedAt), row }];
  (aSucceeded ? counts.first : counts.second) += 1;
}

std::vector<wire::VersionEvidenceT>
RolloutEvidence::Rows() const
{
  std::vector<wire::VersionEvidenceT> rows;
  for (const auto& [key, counts] : m_counts) {
    wire::VersionEvidenceT row;
    row.version = key.second;
    row.since = key.first;
    row.exposed = counts.first + counts.second;
    row.good = counts.first;
    row.bad = counts.second;
    rows.push_back(std::move(row));
  }
  return rows;
}

RequestKind
KindOf(const routing::Route& aRoute)
{
  if (aRoute.m_stream) {
    return RequestKind::Stream;
  }
  return aRoute.m_idempotent ? RequestKind::Idempotent : RequestKind::Once;
}

ResponseLatency::ResponseLatency(base::Metrics& aMetrics, RequestKind aKind)
  : m_toHead(aMetrics.AddHistogram(
      "chivefront_proxy_head_ms",
      "Time from a request to the head of its answer.",
      "kind=\"" + std::string(kRequestKindNames.Name(aKind)) + "\""))
  , m_toEnd(aMetrics.AddHistogram(
      "chivefront_proxy_answer_ms",
      "Time from a request to the end of its answer.",
      "kind=\"" + std::string(kRequestKindNames.Name(aKind)) + "\""))
{
}

RequestMetrics::RequestMetrics(base::Metrics& aMetrics)
  : m_received(aMetrics.AddCounter("chivefront_proxy_requests_total",
                                   "Requests read from callers."))
  , m_answered(aMetrics.AddCounter("chivefront_proxy_outcomes_total",
                                   "How requests ended.",
                                   "outcome=\"answered\""))
  , m_refused(aMetrics.AddCounter("chivefront_proxy_outcomes_total",
                                  "How requests ended.",
                                  "outcome=\"refused\""))
  , m_failed(aMetrics.AddCounter("chivefront_proxy_outcomes_total",
                                 "How requests ended.",
                                 "outcome=\"failed\""))
  , m_callerLeft(aMetrics.AddCounter("chivefront_proxy_outcomes_total",
                                     "How requests ended.",
                                     "outcome=\"caller_left\""))
  , m_retries(aMetrics.AddCounter("chivefront_proxy_repeats_total",
                                  "Requests sent to a further upstream."))
  , m_resumed(aMetrics.AddCounter("chivefront_proxy_resumed_total",
                                  "Streams that went on elsewhere."))
  , m_escalated(
      aMetrics.AddCounter("chivefront_proxy_escalated_total",
                          "Answers dropped for one of a larger model."))
  , m_probes(aMetrics.AddCounter("chivefront_proxy_probes_total",
                                 "Upstreams asked for their load."))
  , m_idempotentLatency(aMetrics, RequestKind::Idempotent)
  , m_onceLatency(aMetrics, RequestKind::Once)
  , m_streamLatency(aMetrics, RequestKind::Stream)
{
}

ResponseLatency&
RequestMetrics::LatencyOf(const routing::Route& aRoute)
{
  switch (KindOf(aRoute)) {
    case RequestKind::Idempotent:
      return m_idempotentLatency;
    case RequestKind::Once:
      return m_onceLatency;
    case RequestKind::Stream:
      break;
  }
  return m_streamLatency;
}

} // namespace chivefront::proxy
