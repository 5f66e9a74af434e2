// Event-driven simulation of the pool model: agents and engines.
#include <algorithm>
#include <cmath>

#include "bench/pool_run.h"

namespace chivefront::bench::detail {
namespace {

// Completions after which an engine's true capacity grows by one.
constexpr uint32_t kCompletionsPerWarmStep = 3;
constexpr size_t kPrefixesPerEngine = 64;

} // namespace

void
Pool::ArriveAtAgent(size_t aEngine, uint64_t aId)
{
  Engine& engine = m_engines[aEngine];
  Request& request = m_requests.at(aId);
  if (engine.m_queue->Size() == 0 && Start(aEngine, aId)) {
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

bool
Pool::Start(size_t aEngine, uint64_t aId)
{
  Engine& engine = m_engines[aEngine];
  Request& request = m_requests.at(aId);
  UpstreamLimiter::Work work;
  work.m_stream = true;
  auto ticket = engine.m_limiter->TryAdmit(work, At(m_now));
  if (!ticket && m_settings.m_usesLimiter) {
    return false;
  }
  ++engine.m_running;
  if (engine.m_running > engine.m_capacity) {
    ++m_result.m_sentBeyondCapacity;
  }
  auto& prefixes = engine.m_prefixes;
  const auto cached =
    std::find(prefixes.begin(), prefixes.end(), request.m_prefix);
  const bool hit = cached != prefixes.end();
  if (hit) {
    prefixes.erase(cached);
    ++m_result.m_prefixHits;
  } else if (prefixes.size() >= kPrefixesPerEngine) {
    prefixes.erase(prefixes.begin());
  }
  prefixes.push_back(request.m_prefix);
  // Beyond its capacity an engine slows down with the square of the excess.
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
  return true;
}

void
Pool::Finish(size_t aEngine, uint64_t aId, UpstreamLimiter::Ticket aTicket)
{
  Engine& engine = m_engines[aEngine];
  --engine.m_running;
  if (++engine.m_done % kCompletionsPerWarmStep == 0) {
    engine.m_capacity = std::min(engine.m_capacity + 1, m_settings.m_fullLimit);
  }
  engine.m_limiter->Finish(
    aTicket, UpstreamLimiter::Result::Success, At(m_now));
  Request& request = m_requests.at(aId);
  Entry& entry = m_entries[request.m_entry];
  --entry.m_running;
  entry.m_placement->OnFinished(
    engine.m_name, base::Millis(static_cast<int64_t>(m_now - request.m_sent)));
  if (m_settings.m_usesClasses) {
    entry.m_admission.Finish(TeamOf(request), 1000, 1000, At(m_now));
  }
  Record(request);
  m_requests.erase(aId);
  while (const policy::QueueItem* next = engine.m_queue->Peek(At(m_now))) {
    if (!Start(aEngine, next->m_id)) {
      break;
    }
    engine.m_queue->Pop(At(m_now));
  }
  for (const uint64_t id : engine.m_queue->TakeExpired(At(m_now))) {
    Refuse(id, true);
  }
  // The last message of an answer reports the engine's load without delay.
  Report(aEngine, entry);
  ServeQueue(entry);
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
    m_result.m_payingFirstAfterOutMs.push_back(first);
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
  // Entries get the present state after the report lag. Requests that an entry
  // sends in the meantime are counted twice until the next report, so the
  // entry overestimates the load, which is the safe side.
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
      ServeQueue(entry);
    }
  });
  After(kReportEveryMs, [this, aEngine] { ReportAll(aEngine); });
}

} // namespace chivefront::bench::detail
