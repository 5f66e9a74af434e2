// What one entry has seen of prompt parts that may crash upstreams: attempts
// that lost their upstream before it began to answer, and parts of requests
// whose answer did begin.
//
//   evidence.OnLoss({ upstream, request, headRead, sentAt, now }, parts);
//   evidence.OnBegun(parts, now);
//   PartReport report = evidence.Report(suspects, now);
//
// Pattern: one tainted prompt part in many otherwise different requests. Does
// no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

// Identifies a prompt part of the requests of one service.
using PartKey = uint64_t;

PartKey
MakePartKey(const std::string& aService, const std::string& aPartId);

// An attempt whose upstream closed the connection before it began to answer.
struct LostAttempt
{
  uint64_t m_upstream = 0; // hash of the incarnation
  uint64_t m_request = 0;  // hash of the caller's attempt id
  // The head of the response had been read, so the upstream had taken the
  // request up. A request that only waited there is a weaker suspect.
  bool m_headRead = false;
  base::TimePoint m_sentAt;
  base::TimePoint m_lostAt;
};

struct PartLoss
{
  PartKey m_part = 0;
  LostAttempt m_attempt;
};

struct PartReport
{
  std::vector<PartLoss> m_losses;
  // When an answer to a request with the part began last.
  std::map<PartKey, base::TimePoint> m_begun;
};

class PartEvidence
{
public:
  // An upstream began to answer a request with these parts.
  void OnBegun(const std::vector<PartKey>& aParts, base::TimePoint aNow);
  void OnLoss(const LostAttempt& aAttempt, const std::vector<PartKey>& aParts);

  // The losses of the last kLossMemory, and what is known of the parts in
  // aSuspects and in these losses.
  PartReport Report(const std::set<PartKey>& aSuspects, base::TimePoint aNow);

private:
  using Times = std::unordered_map<PartKey, base::TimePoint>;

  const base::TimePoint* FindBegun(PartKey aPart) const;

  std::deque<PartLoss> m_losses; // oldest first, at most kMaxLosses
  // Two generations bound the memory: m_recent becomes m_older when it is full.
  Times m_recent;
  Times m_older;
};

// Losses that are older are not reported any more.
inline constexpr base::Millis kLossMemory{ 30000 };

} // namespace chivefront::routing
