// Counting of losses that follow each other.
#include "chivefront/routing/part_quarantine.h"

#include <algorithm>

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
constexpr size_t kMaxSuspects = 4096;
constexpr size_t kMaxQuarantined = 1024;

} // namespace

void
PartQuarantine::Record(const PartReport& aReport)
{
  for (const PartLoss& loss : aReport.m_losses) {
    if (m_suspects.size() >= kMaxSuspects &&
        m_suspects.count(loss.m_part) == 0) {
      continue;
    }
    const std::pair key(loss.m_attempt.m_upstream, loss.m_attempt.m_request);
    m_suspects[loss.m_part].m_losses.try_emplace(key, loss.m_attempt);
  }
  for (const auto& [part, begunAt] : aReport.m_begun) {
    const auto found = m_suspects.find(part);
    if (found != m_suspects.end()) {
      found->second.m_begunAt = std::max(found->second.m_begunAt, begunAt);
    }
  }
}

void
PartQuarantine::Adopt(const QuarantinedParts& aParts)
{
  for (const auto& [part, until] : aParts) {
    if (m_quarantined.size() < kMaxQuarantined ||
        m_quarantined.count(part) > 0) {
      base::TimePoint& known = m_quarantined[part];
      known = std::max(known, until);
    }
  }
}

bool
PartQuarantine::IsGuilty(const Suspect& aSuspect,
                         const std::set<uint64_t>& aExplained,
                         base::TimePoint aNow)
{
  std::vector<LostAttempt> losses;
  for (const auto& [key, attempt] : aSuspect.m_losses) {
    if (attempt.m_lostAt > aSuspect.m_begunAt &&
        aNow - attempt.m_lostAt >= kReportDelay &&
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
PartQuarantine::Forget(base::TimePoint aNow)
{
  for (auto& [part, suspect] : m_suspects) {
    std::erase_if(suspect.m_losses, [&](const auto& aLoss) {
      return aNow - aLoss.second.m_lostAt > kLossMemory;
    });
  }
  std::erase_if(m_suspects, [](const auto& aSuspect) {
    return aSuspect.second.m_losses.empty();
  });
  std::erase_if(m_quarantined,
                [&](const auto& aPart) { return aPart.second <= aNow; });
}

std::set<uint64_t>
PartQuarantine::UpstreamsCrashedByQuarantined() const
{
  std::set<uint64_t> upstreams;
  for (const auto& [part, suspect] : m_suspects) {
    if (m_quarantined.count(part) == 0) {
      continue;
    }
    for (const auto& [key, attempt] : suspect.m_losses) {
      if (attempt.m_headRead) {
        upstreams.insert(attempt.m_upstream);
      }
    }
  }
  return upstreams;
}

// The parts that are guilty and not quarantined yet. If an answer was seen for
// some of them and for others never, only the latter: the losses of the former
// are then explained by them.
std::vector<PartKey>
PartQuarantine::FindGuilty(base::TimePoint aNow) const
{
  const std::set<uint64_t> explained = UpstreamsCrashedByQuarantined();
  std::vector<PartKey> begun;
  std::vector<PartKey> neverBegun;
  for (const auto& [part, suspect] : m_suspects) {
    if (m_quarantined.count(part) > 0 || !IsGuilty(suspect, explained, aNow)) {
      continue;
    }
    const bool isNeverBegun = suspect.m_begunAt == base::TimePoint();
    (isNeverBegun ? neverBegun : begun).push_back(part);
  }
  return neverBegun.empty() ? begun : neverBegun;
}

std::vector<PartKey>
PartQuarantine::Update(base::TimePoint aNow)
{
  Forget(aNow);
  std::vector<PartKey> added = FindGuilty(aNow);
  if (m_quarantined.size() + added.size() > kMaxQuarantined) {
    added.clear();
  }
  for (const PartKey part : added) {
    m_quarantined[part] = aNow + kQuarantineTime;
  }
  return added;
}

std::set<PartKey>
PartQuarantine::Suspects() const
{
  std::set<PartKey> parts;
  for (const auto& [part, suspect] : m_suspects) {
    if (m_quarantined.count(part) == 0) {
      parts.insert(part);
    }
  }
  return parts;
}

} // namespace chivefront::routing
