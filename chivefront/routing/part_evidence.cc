// Bounded memory of losses and of parts whose answer began.
#include "chivefront/routing/part_evidence.h"

#include "chivefront/base/ids.h"

namespace chivefront::routing {
namespace {

constexpr size_t kMaxLosses = 256;
// Losses of requests that were answered since are removed, so few are left.
constexpr size_t kMaxRequestLosses = 128;
// Parts per generation; about 1 MiB for both generations.
constexpr size_t kMaxParts = 8192;
// Answered requests per generation. A repeat that is answered before its entry
// hears that it is suspect must be remembered for some polls.
constexpr size_t kMaxRequests = 512;

void
ForgetBefore(base::TimePoint aTime, std::deque<PartLoss>& aLosses)
{
  while (!aLosses.empty() && aLosses.front().m_attempt.m_lostAt < aTime) {
    aLosses.pop_front();
  }
}

} // namespace

PartKey
MakePartKey(const std::string& aService, const std::string& aPartId)
{
  return base::StableHash(aPartId, base::StableHash(aService));
}

// Each field is hashed with the hash of those before it as the seed, so that
// bytes can't move from one field to the next.
PartKey
MakeRequestKey(const RequestIdentity& aIdentity)
{
  PartKey key = 0;
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
LatestTimes::Record(PartKey aKey, base::TimePoint aTime)
{
  m_recent[aKey] = aTime;
  if (m_recent.size() >= m_capacity) {
    m_older = std::move(m_recent);
    m_recent.clear();
  }
}

const base::TimePoint*
LatestTimes::Find(PartKey aKey) const
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

PartEvidence::PartEvidence()
  : m_partsBegun(kMaxParts)
  , m_requestsBegun(kMaxRequests)
{
}

void
PartEvidence::OnBegun(const std::vector<PartKey>& aParts,
                      PartKey aRequest,
                      base::TimePoint aNow)
{
  for (const PartKey part : aParts) {
    m_partsBegun.Record(part, aNow);
  }
  m_requestsBegun.Record(aRequest, aNow);
  std::erase_if(m_requestLosses, [aRequest](const PartLoss& aLoss) {
    return aLoss.m_part == aRequest;
  });
}

void
PartEvidence::OnLoss(const LostAttempt& aAttempt,
                     const std::vector<PartKey>& aParts,
                     PartKey aRequest)
{
  for (const PartKey part : aParts) {
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

PartReport
PartEvidence::Report(const std::set<PartKey>& aSuspects, base::TimePoint aNow)
{
  ForgetBefore(aNow - kLossMemory, m_partLosses);
  ForgetBefore(aNow - kRequestLossMemory, m_requestLosses);
  PartReport report;
  std::set<PartKey> keys = aSuspects;
  for (const auto* losses : { &m_partLosses, &m_requestLosses }) {
    for (const PartLoss& loss : *losses) {
      report.m_losses.push_back(loss);
      keys.insert(loss.m_part);
    }
  }
  for (const PartKey key : keys) {
    for (const auto* begun : { &m_partsBegun, &m_requestsBegun }) {
      if (const base::TimePoint* time = begun->Find(key)) {
        report.m_begun[key] = *time;
      }
    }
  }
  return report;
}

} // namespace chivefront::routing
