// Bounded memory of losses and of what speaks for parts and requests.
#include "chivefront/routing/crash_evidence.h"

#include "chivefront/base/ids.h"

namespace chivefront::routing {
namespace {

constexpr size_t kMaxLosses = 256;
// Losses of requests that were answered since are removed, so few are left.
constexpr size_t kMaxRequestLosses = 128;
// Parts per generation; about 2 MiB for both generations of both tables.
constexpr size_t kMaxParts = 8192;
// Answered requests per generation. A repeat that is answered before its entry
// hears that it is suspect must be remembered for some polls.
constexpr size_t kMaxRequests = 512;

void
ForgetBefore(base::TimePoint aTime, std::deque<CrashLoss>& aLosses)
{
  while (!aLosses.empty() && aLosses.front().m_attempt.m_lostAt < aTime) {
    aLosses.pop_front();
  }
}

} // namespace

CauseKey
MakePartKey(const std::string& aService, const std::string& aPartId)
{
  return base::StableHash(aPartId, base::StableHash(aService));
}

// Each field is hashed with the hash of those before it as the seed, so that
// bytes can't move from one field to the next.
CauseKey
MakeRequestKey(const RequestIdentity& aIdentity)
{
  CauseKey key = 0;
  for (const std::string_view field : { aIdentity.m_caller,
                                        aIdentity.m_method,
                                        aIdentity.m_host,
                                        aIdentity.m_target,
                                        aIdentity.m_body }) {
    key = base::StableHash(field, key);
  }
  return key;
}

namespace detail {

void
LatestTimes::Record(CauseKey aKey, base::TimePoint aTime)
{
  m_recent[aKey] = aTime;
  if (m_recent.size() >= m_capacity) {
    m_older = std::move(m_recent);
    m_recent.clear();
  }
}

const base::TimePoint*
LatestTimes::Find(CauseKey aKey) const
{
  for (const Times* times : { &m_recent, &m_older }) {
    const auto found = times->find(aKey);
    if (found != times->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

} // namespace detail

CrashEvidence::CrashEvidence()
  : m_partsBegun(kMaxParts)
  , m_partsSurvived(kMaxParts)
  , m_requestsAnswered(kMaxRequests)
{
}

void
CrashEvidence::OnBegun(const std::vector<CauseKey>& aParts,
                       base::TimePoint aNow)
{
  for (const CauseKey part : aParts) {
    m_partsBegun.Record(part, aNow);
  }
}

void
CrashEvidence::OnSurvived(const std::vector<CauseKey>& aParts,
                          base::TimePoint aNow)
{
  for (const CauseKey part : aParts) {
    m_partsSurvived.Record(part, aNow);
  }
}

void
CrashEvidence::OnAnswered(const std::vector<CauseKey>& aParts,
                          CauseKey aRequest,
                          base::TimePoint aNow)
{
  OnSurvived(aParts, aNow);
  m_requestsAnswered.Record(aRequest, aNow);
  std::erase_if(m_requestLosses, [aRequest](const CrashLoss& aLoss) {
    return aLoss.m_cause == aRequest;
  });
}

void
CrashEvidence::OnLoss(const LostAttempt& aAttempt,
                      const std::vector<CauseKey>& aParts,
                      CauseKey aRequest)
{
  for (const CauseKey part : aParts) {
    m_partLosses.push_back({ part, aAttempt });
    if (m_partLosses.size() > kMaxLosses) {
      m_partLosses.pop_front();
    }
  }
  m_requestLosses.push_back({ aRequest, aAttempt, true });
  if (m_requestLosses.size() > kMaxRequestLosses) {
    m_requestLosses.pop_front();
  }
}

CrashReport
CrashEvidence::Report(const std::set<CauseKey>& aSuspects, base::TimePoint aNow)
{
  ForgetBefore(aNow - kLossMemory, m_partLosses);
  ForgetBefore(aNow - kRequestLossMemory, m_requestLosses);
  CrashReport report;
  std::set<CauseKey> keys = aSuspects;
  for (const auto* losses : { &m_partLosses, &m_requestLosses }) {
    for (const CrashLoss& loss : *losses) {
      report.m_losses.push_back(loss);
      keys.insert(loss.m_cause);
    }
  }
  for (const CauseKey key : keys) {
    if (const base::TimePoint* time = m_partsBegun.Find(key)) {
      report.m_begun[key] = *time;
    }
    for (const auto* survived : { &m_partsSurvived, &m_requestsAnswered }) {
      if (const base::TimePoint* time = survived->Find(key)) {
        report.m_survived[key] = *time;
      }
    }
  }
  return report;
}

} // namespace chivefront::routing
