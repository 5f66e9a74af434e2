// What one entry has seen of prompt parts and of whole requests that may crash
// upstreams: attempts that lost their upstream before the end of the answer,
// and what speaks for their parts and for the requests themselves.
//
//   evidence.OnLoss({ upstream, request, headRead, answerBegun, sentAt, now },
//                   parts,
//                   key);
//   evidence.OnBegun(parts, now);
//   evidence.OnSurvived(parts, now);
//   evidence.OnAnswered(parts, key, now);
//   CrashReport report = evidence.Report(suspects, now);
//
// An upstream may crash in the middle of an answer, so an answer that has only
// begun says nothing of losses after the beginning of answers, and nothing of
// its whole request.
//
// Patterns: one tainted prompt part in many otherwise different requests, and
// one request that its caller repeats. Does no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

// Identifies a prompt part of the requests of one service, or a whole request.
using CauseKey = uint64_t;

CauseKey
MakePartKey(const std::string& aService, const std::string& aPartId);

// What makes two requests of a caller the same request; the attempt id does
// not.
struct RequestIdentity
{
  std::string_view m_caller; // key of the team; empty on public routes
  std::string_view m_method;
  std::string_view m_host;
  std::string_view m_target; // path and query
  std::string_view m_body;
};

CauseKey
MakeRequestKey(const RequestIdentity& aIdentity);

// An attempt whose upstream closed the connection before the end of the answer.
struct LostAttempt
{
  uint64_t m_upstream = 0; // hash of the incarnation
  uint64_t m_request = 0;  // hash of the caller's attempt id
  // The head of the response had been read, so the upstream had taken the
  // request up. A request that only waited there is a weaker suspect.
  bool m_headRead = false;
  bool m_answerBegun = false; // a part of the answer itself had been read
  base::TimePoint m_sentAt;
  base::TimePoint m_lostAt;
};

struct CrashLoss
{
  CauseKey m_cause = 0;
  LostAttempt m_attempt;
  bool m_wholeRequest = false; // m_cause identifies a request, not a part
};

struct CrashReport
{
  std::vector<CrashLoss> m_losses;
  // When an answer to a request with the part began last.
  std::map<CauseKey, base::TimePoint> m_begun;
  // When an upstream last survived a request with the part, or ran the request
  // from its beginning to its end.
  std::map<CauseKey, base::TimePoint> m_survived;
};

namespace detail {

// The latest time of each key. Two generations bound the memory: m_recent
// becomes m_older when it holds aCapacity keys.
class LatestTimes
{
public:
  explicit LatestTimes(size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  void Record(CauseKey aKey, base::TimePoint aTime);
  // Null when the key is not known.
  const base::TimePoint* Find(CauseKey aKey) const;

private:
  using Times = std::unordered_map<CauseKey, base::TimePoint>;

  const size_t m_capacity;
  Times m_recent;
  Times m_older;
};

} // namespace detail

class CrashEvidence
{
public:
  CrashEvidence();

  // An upstream began to answer a request with these parts.
  void OnBegun(const std::vector<CauseKey>& aParts, base::TimePoint aNow);
  // An upstream still runs a request with these parts kSurvivalTime after it
  // began to answer.
  void OnSurvived(const std::vector<CauseKey>& aParts, base::TimePoint aNow);
  // One upstream has answered the request aRequest with these parts from its
  // beginning to its end.
  void OnAnswered(const std::vector<CauseKey>& aParts,
                  CauseKey aRequest,
                  base::TimePoint aNow);
  void OnLoss(const LostAttempt& aAttempt,
              const std::vector<CauseKey>& aParts,
              CauseKey aRequest);

  // The losses of the last kLossMemory, or kRequestLossMemory, and what is
  // known of the keys in aSuspects and in these losses.
  CrashReport Report(const std::set<CauseKey>& aSuspects, base::TimePoint aNow);

private:
  std::deque<CrashLoss> m_partLosses; // oldest first, at most kMaxLosses
  // Of whole requests, oldest first, at most kMaxRequestLosses.
  std::deque<CrashLoss> m_requestLosses;
  detail::LatestTimes m_partsBegun;
  detail::LatestTimes m_partsSurvived;
  detail::LatestTimes m_requestsAnswered;
};

// A prompt part that crashes upstreams does so while its request is read or
// soon after, so an answer that goes on for this long speaks for the part.
inline constexpr base::Millis kSurvivalTime{ 1000 };

// Losses of prompt parts that are older are not reported any more.
inline constexpr base::Millis kLossMemory{ 30000 };
// The same for whole requests. A caller may repeat a request after long pauses.
inline constexpr base::Millis kRequestLossMemory{ 120000 };

} // namespace chivefront::routing
