// One entry's estimate of the state of one upstream: its load, latency, failure
// rate and cached prompt parts, derived from the answers that this entry
// received and from the load that the upstream reports. Does no I/O; not
// thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

// An upstream with running streams that sends nothing for longer than this
// counts as silent. A healthy stream sends many events in this time.
inline constexpr base::Millis kSilenceTimeout{ 400 };

// Assumed time to read a prompt whose length or model isn't known. Long prompts
// of large models take this much.
inline constexpr double kUnknownReadMs = 80;

// What a request takes at the upstream that it is sent to.
struct RequestCost
{
  // Time in which an idle upstream reads what it has not cached of the prompt.
  double m_readMs = kUnknownReadMs;
  double m_memoryTokens = 0; // of prompt and expected answer; 0: unknown
  int m_priority = 0;        // 0 is read first
};

// The load that an upstream reported.
struct ReportedLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  base::TimePoint m_receivedAt;   // when this entry received the report
  uint32_t m_ownInFlight = 0;     // requests of this entry at m_receivedAt
  uint32_t m_ownAwaitingHead = 0; // m_ownInFlight without an answer head
  // How many times as long as usual work took on the host, if reported.
  std::optional<double> m_slowdown;
};

class UpstreamEstimate
{
public:
  // OnHead and OnEnded get the same cost as the OnSent before.
  void OnSent(const RequestCost& aCost = {});
  // The head of an answer arrived, or none is awaited any more.
  void OnHead(const RequestCost& aCost = {});
  void OnEnded(const RequestCost& aCost = {});
  // Requests of this entry at the upstream.
  uint32_t InFlight() const { return m_inFlight; }

  // The upstream reported its load and, in some deployments, how many times as
  // long as usual work takes on its host.
  void OnLoad(uint32_t aRunning,
              uint32_t aWaiting,
              base::TimePoint aNow,
              std::optional<double> aSlowdown = {});
  base::Millis ReportAge(base::TimePoint aNow) const
  {
    return aNow - m_reported.m_receivedAt;
  }
  // Estimated number of requests at the upstream, from all entries.
  double Load(base::TimePoint aNow) const;
  // Estimated number of those requests that have not begun to run.
  double Waiting(base::TimePoint aNow) const;
  // Time in which an idle upstream reads the prompts that it reads before that
  // of a new request of aPriority: the pending ones that are as urgent, and of
  // the less urgent ones the one that it may be reading. Waiting requests of
  // other entries count with the mean of this entry's own.
  double WorkAheadMs(int aPriority, base::TimePoint aNow) const;
  // The share of WorkAheadMs that is of other entries.
  double OthersWorkMs(base::TimePoint aNow) const;
  // Weight of the last report, 1 when it arrived, 0 when it has expired.
  double ReportWeight(base::TimePoint aNow) const;
  // Estimated tokens of the requests at the upstream in its memory. Requests of
  // other entries count with the mean of this entry's own. 0 if unknown.
  double OccupiedTokens(base::TimePoint aNow) const;
  // The slowdown that the upstream reported for its host; 1 is usual. Decays to
  // 1 with the age of the report.
  double HostSlowdown(base::TimePoint aNow) const;
  // Whether a report that counts stated a slowdown.
  bool ReportsSlowdown(base::TimePoint aNow) const;

  // An answer arrived, whatever its status: ends the backoff.
  void OnAnswer(base::TimePoint aNow);
  // Answers in about the last second.
  double RecentAnswers(base::TimePoint aNow) const;
  // How many more requests this entry may send if it sends no faster than the
  // upstream answers: one, and two for each recent answer, less those that
  // still await theirs.
  uint32_t PacedAllowance(base::TimePoint aNow) const;
  // A connection failed, or an answer was cut off: starts or extends the
  // backoff.
  void OnFailure(base::TimePoint aNow);
  // The upstream rejected a request for lack of capacity.
  void OnOverloaded(base::TimePoint aNow);
  // The upstream rejected a request and wants none from this entry before
  // aUntil.
  void OnRest(base::TimePoint aUntil)
  {
    m_restUntil = std::max(m_restUntil, aUntil);
  }
  base::TimePoint RestUntil() const { return m_restUntil; }
  // The upstream answered successfully, or with a failure of its own.
  void OnOutcome(bool aSucceeded);

  // The upstream gets no requests before this time.
  base::TimePoint BackoffUntil() const { return m_backoffUntil; }
  // Moving average of the share of failed answers, 0 to 1.
  double FailureShare() const { return m_failureShare; }

  // An answer took aRatio times its usual latency.
  void OnLatencyRatio(double aRatio, base::TimePoint aNow);
  // Estimated latency as a multiple of the usual latency; 1 is usual. Decays to
  // 1 while there are no new samples, so that a slow upstream is tried again.
  double Slowdown(base::TimePoint aNow) const;

  // Bytes of an answer arrived.
  void OnBytesReceived(base::TimePoint aNow) { m_lastReceivedAt = aNow; }
  // The events of an answer begin to arrive, or no more are expected.
  void OnStreamBegun(base::TimePoint aNow);
  void OnStreamEnded() { m_streams -= m_streams > 0 ? 1 : 0; }
  // Whether the upstream has running streams and has sent no bytes for longer
  // than kSilenceTimeout, as after a loss of its network.
  bool IsSilent(base::TimePoint aNow) const;
  base::TimePoint LastReceivedAt() const { return m_lastReceivedAt; }

  // Prompt parts that this entry sent to the upstream recently and that the
  // upstream is likely to have in its cache.
  void OnPromptPartSent(const std::string& aModelAndPart, base::TimePoint aNow);
  bool LikelyCaches(const std::string& aModelAndPart,
                    base::TimePoint aNow) const;

private:
  // Less urgent priorities count as the last.
  static constexpr size_t kPriorities = 4;

  // Requests of this entry of one priority that await their answer heads.
  struct Pending
  {
    uint32_t m_count = 0;
    double m_readMs = 0; // 0 if m_count is
  };

  // Waiting requests of other entries.
  double OthersWaiting(base::TimePoint aNow) const;
  Pending& PendingOf(int aPriority);

  std::array<Pending, kPriorities> m_pending;
  double m_meanReadMs = kUnknownReadMs; // of recent requests of this entry
  double m_ownTokens = 0;               // in memory, of m_inFlight
  double m_meanTokens = 0;              // of recent requests; 0: unknown
  uint32_t m_inFlight = 0;              // requests of this entry
  uint32_t m_awaitingHead = 0; // those of m_inFlight without an answer head
  ReportedLoad m_reported;
  double m_recentAnswers = 0; // as of m_answeredAt; decays
  base::TimePoint m_answeredAt;
  uint32_t m_consecutiveFailures = 0;
  base::TimePoint m_backoffUntil;
  base::TimePoint m_restUntil; // answers to other requests do not end it
  double m_failureShare = 0;
  double m_slowdown = 1;
  base::TimePoint m_slowdownAt; // time of the last sample
  uint32_t m_streams = 0;       // running streams of this entry
  base::TimePoint m_lastReceivedAt;
  std::unordered_map<std::string, base::TimePoint>
    m_promptParts; // last use, by model and part
};

} // namespace chivefront::routing
