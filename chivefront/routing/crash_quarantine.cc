// Counting of losses that follow each other, and of losses of one request.
#include "chivefront/routing/crash_quarantine.h"

#include <algorithm>

#include "chivefront/policy/suspects.h"
#include "chivefront/routing/request_limits.h"

namespace chivefront::routing {
namespace {

// A loss after the head counts twice as much as one before it, because a
// request that only waited at an upstream is rarely what crashed it.
constexpr int kHeadReadWeight = 2;
constexpr int kWaitingWeight = 1;
constexpr int kGuiltyWeight = 6;
constexpr size_t kMinRequests = 2;
// A loss counts once all entries have had two polls to report that an answer
// began.
constexpr base::Millis kReportDelay{ 400 };
// Upstreams need seconds to return, so a part must not be tried again soon.
constexpr base::Millis kQuarantineTime{ 300000 };
// Times of different entries are compared by their age in a message, which is
// wrong by the time that the message takes.
constexpr base::Millis kClockTolerance{ 50 };
// A registration that was sent just before the crash does not show that the
// upstream lives.
constexpr base::Millis kHeardMargin{ 300 };
// A registration may arrive seconds late. An upstream that is heard for longer
// after a loss has survived it.
constexpr base::Millis kLateRegistration{ 5000 };
// An upstream that has crashed is replaced within this time.
constexpr base::Millis kReplacementTime{ 15000 };
constexpr size_t kMaxSuspects = 4096;
constexpr size_t kMaxQuarantined = 1024;

} // namespace

void
CrashQuarantine::Record(const CrashReport& aReport)
{
  for (const CrashLoss& loss : aReport.m_losses) {
    if (m_suspects.size() >= kMaxSuspects &&
        m_suspects.count(loss.m_cause) == 0) {
      continue;
    }
    const std::pair key(loss.m_attempt.m_upstream, loss.m_attempt.m_request);
    Suspect& suspect = m_suspects[loss.m_cause];
    suspect.m_wholeRequest = loss.m_wholeRequest;
    suspect.m_losses.try_emplace(key, loss.m_attempt);
  }
  for (const auto& [part, begunAt] : aReport.m_begun) {
    const auto found = m_suspects.find(part);
    if (found != m_suspects.end() && !found->second.m_wholeRequest) {
      found->second.m_begunAt = std::max(found->second.m_begunAt, begunAt);
    }
  }
  for (const auto& [cause, survivedAt] : aReport.m_survived) {
    const auto found = m_suspects.find(cause);
    if (found != m_suspects.end()) {
      Suspect& suspect = found->second;
      suspect.m_survivedAt = std::max(suspect.m_survivedAt, survivedAt);
    }
  }
}

bool
CrashQuarantine::Suspect::IsCleared(const LostAttempt& aAttempt) const
{
  return aAttempt.m_lostAt <= m_survivedAt ||
         (!aAttempt.m_answerBegun && aAttempt.m_lostAt <= m_begunAt);
}

void
CrashQuarantine::Adopt(const QuarantinedCauses& aCauses)
{
  for (const auto& [cause, until] : aCauses) {
    if (m_quarantined.size() < kMaxQuarantined ||
        m_quarantined.count(cause) > 0) {
      base::TimePoint& known = m_quarantined[cause];
      known = std::max(known, until);
    }
  }
}

// Whether a loss counts for a part by now. Every reset of a connection cuts
// answers off, so a loss after the beginning of an answer counts only once the
// upstream would have been heard again.
bool
CrashQuarantine::CountsForPart(const LostAttempt& aAttempt,
                               base::TimePoint aNow) const
{
  const base::Millis age = aNow - aAttempt.m_lostAt;
  return aAttempt.m_answerBegun ? HasCrashed(aAttempt, aNow)
                                : age >= kReportDelay;
}

bool
CrashQuarantine::IsGuilty(const Suspect& aSuspect,
                          const std::set<uint64_t>& aExplained,
                          base::TimePoint aNow) const
{
  std::vector<LostAttempt> losses;
  for (const auto& [key, attempt] : aSuspect.m_losses) {
    if (!aSuspect.IsCleared(attempt) && CountsForPart(attempt, aNow) &&
        aExplained.count(attempt.m_upstream) == 0) {
      losses.push_back(attempt);
    }
  }
  std::sort(
    losses.begin(), losses.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_lostAt < aRight.m_lostAt;
    });
  int weight = 0;
  std::set<uint64_t> requests;
  base::TimePoint countedAt;
  for (const LostAttempt& attempt : losses) {
    if (attempt.m_sentAt + kClockTolerance < countedAt) {
      continue;
    }
    countedAt = attempt.m_lostAt;
    weight += attempt.m_headRead ? kHeadReadWeight : kWaitingWeight;
    requests.insert(attempt.m_request);
  }
  return weight >= kGuiltyWeight && requests.size() >= kMinRequests;
}

void
CrashQuarantine::Forget(base::TimePoint aNow)
{
  for (auto& [part, suspect] : m_suspects) {
    const bool isRequest = suspect.m_wholeRequest;
    const base::Millis memory = isRequest ? kRequestLossMemory : kLossMemory;
    std::erase_if(suspect.m_losses, [&, &cause = suspect](const auto& aLoss) {
      const LostAttempt& attempt = aLoss.second;
      return aNow - attempt.m_lostAt > memory ||
             (isRequest && cause.IsCleared(attempt));
    });
  }
  std::erase_if(m_suspects, [](const auto& aSuspect) {
    return aSuspect.second.m_losses.empty();
  });
  std::erase_if(m_quarantined,
                [&](const auto& aPart) { return aPart.second <= aNow; });
  for (auto* times : { &m_heard, &m_ended }) {
    std::erase_if(*times, [&](const auto& aUpstream) {
      return aNow - aUpstream.second > kRequestLossMemory;
    });
  }
}

std::set<uint64_t>
CrashQuarantine::UpstreamsCrashedBy(bool aWholeRequests) const
{
  std::set<uint64_t> upstreams;
  for (const auto& [part, suspect] : m_suspects) {
    if (suspect.m_wholeRequest != aWholeRequests ||
        m_quarantined.count(part) == 0) {
      continue;
    }
    for (const auto& [key, attempt] : suspect.m_losses) {
      if (attempt.m_headRead || aWholeRequests) {
        upstreams.insert(attempt.m_upstream);
      }
    }
  }
  return upstreams;
}

// The parts that are guilty and not quarantined yet. Of these only those for
// which least speaks: no answer to a request with the part ever began, or none
// ever went on. They explain the losses of the others. A quarantined request
// explains no losses here, because the part may be what makes it crash
// upstreams.
std::vector<CauseKey>
CrashQuarantine::FindGuiltyParts(base::TimePoint aNow) const
{
  const std::set<uint64_t> explained = UpstreamsCrashedBy(false);
  std::vector<CauseKey> neverBegun;
  std::vector<CauseKey> neverSurvived;
  std::vector<CauseKey> survived;
  for (const auto& [part, suspect] : m_suspects) {
    if (suspect.m_wholeRequest || m_quarantined.count(part) > 0 ||
        !IsGuilty(suspect, explained, aNow)) {
      continue;
    }
    if (suspect.m_survivedAt != base::TimePoint()) {
      survived.push_back(part);
    } else if (suspect.m_begunAt != base::TimePoint()) {
      neverSurvived.push_back(part);
    } else {
      neverBegun.push_back(part);
    }
  }
  if (!neverBegun.empty()) {
    return neverBegun;
  }
  return neverSurvived.empty() ? survived : neverSurvived;
}

// Whether the upstream of a lost attempt would have been heard since and has
// not been, or only by a registration that came late.
bool
CrashQuarantine::HasCrashed(const LostAttempt& aAttempt,
                            base::TimePoint aNow) const
{
  if (aNow - aAttempt.m_lostAt < kRequestLossDelay + m_registrationDelay) {
    return false;
  }
  const auto heard = m_heard.find(aAttempt.m_upstream);
  if (heard == m_heard.end() ||
      heard->second < aAttempt.m_lostAt + kHeardMargin) {
    return true;
  }
  const auto ended = m_ended.find(aAttempt.m_upstream);
  return ended != m_ended.end() &&
         heard->second < aAttempt.m_lostAt + kLateRegistration &&
         ended->second < aAttempt.m_lostAt + kReplacementTime;
}

// Counts afresh from the losses that are remembered, so that an answer, a sign
// of life or another cause found meanwhile takes losses back.
std::vector<CauseKey>
CrashQuarantine::FindGuiltyRequests(base::TimePoint aNow) const
{
  std::set<uint64_t> explained = UpstreamsCrashedBy(false);
  explained.merge(UpstreamsCrashedBy(true));
  std::map<uint64_t, std::vector<uint64_t>> inFlight; // requests by upstream
  for (const auto& [key, suspect] : m_suspects) {
    if (!suspect.m_wholeRequest || m_quarantined.count(key) > 0) {
      continue;
    }
    for (const auto& [id, attempt] : suspect.m_losses) {
      if (!suspect.IsCleared(attempt) &&
          explained.count(attempt.m_upstream) == 0 &&
          HasCrashed(attempt, aNow)) {
        inFlight[attempt.m_upstream].push_back(key);
      }
    }
  }
  policy::SuspectCounts counts;
  std::vector<CauseKey> guilty;
  for (const auto& [upstream, requests] : inFlight) {
    const auto loss = counts.OnLoss(std::to_string(upstream), requests);
    guilty.insert(
      guilty.end(), loss.m_quarantined.begin(), loss.m_quarantined.end());
  }
  return guilty;
}

void
CrashQuarantine::OnRegistry(const Registry& aRegistry)
{
  if (m_suspects.empty()) {
    return;
  }
  aRegistry.ForEach([&](const Instance& aInstance) {
    OnHeard(MakeUpstreamKey(aInstance), aInstance.m_reportedAt);
  });
  for (const SucceededInstance& succeeded : aRegistry.Succeeded()) {
    Instance ended;
    ended.m_id = succeeded.m_id;
    ended.m_born = succeeded.m_born;
    OnEnded(MakeUpstreamKey(ended), succeeded.m_at);
  }
}

void
CrashQuarantine::OnEnded(uint64_t aUpstream, base::TimePoint aTime)
{
  m_ended.try_emplace(aUpstream, aTime);
}

void
CrashQuarantine::OnHeard(uint64_t aUpstream, base::TimePoint aTime)
{
  base::TimePoint& known = m_heard[aUpstream];
  known = std::max(known, aTime);
}

std::vector<CrashCause>
CrashQuarantine::Update(base::TimePoint aNow)
{
  Forget(aNow);
  std::vector<CrashCause> added;
  for (const CauseKey part : FindGuiltyParts(aNow)) {
    added.push_back({ part, false });
  }
  for (const CauseKey request : FindGuiltyRequests(aNow)) {
    added.push_back({ request, true });
  }
  if (m_quarantined.size() + added.size() > kMaxQuarantined) {
    added.clear();
  }
  for (const CrashCause& cause : added) {
    m_quarantined[cause.m_key] = aNow + kQuarantineTime;
  }
  return added;
}

std::set<CauseKey>
CrashQuarantine::Suspects() const
{
  std::set<CauseKey> parts;
  for (const auto& [part, suspect] : m_suspects) {
    if (m_quarantined.count(part) == 0) {
      parts.insert(part);
    }
  }
  return parts;
}

} // namespace chivefront::routing
