// What one entry believes of one upstream, from the answers that it got there
// itself and from the upstream's registrations. Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "chivefront/base/clock.h"
#include "chivefront/routing/budget.h"

namespace chivefront::routing {

// Events of a running stream come many times as often as this.
inline constexpr base::Millis kSilenceTimeout{ 400 };

// Load as an upstream told it at m_at.
struct ReportedLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  base::TimePoint m_at;
  uint32_t m_ownThen = 0;        // of this entry's requests among them
  uint32_t m_ownWaitingThen = 0; // of those, the ones without a first byte
};

class UpstreamEstimate
{
public:
  void OnSent()
  {
    ++m_inFlight;
    ++m_awaited;
  }
  // The head of an answer came, or none will come.
  void OnHead() { m_awaited -= m_awaited > 0 ? 1 : 0; }
  void OnEnded() { m_inFlight -= m_inFlight > 0 ? 1 : 0; }
  uint32_t InFlight() const { return m_inFlight; }

  void OnLoad(uint32_t aRunning, uint32_t aWaiting, base::TimePoint aNow);
  // Requests at the upstream, of all entries, as far as this one can tell.
  double Load(base::TimePoint aNow) const;
  // Those among them that have not begun to run: their prompts are read before
  // that of a new one.
  double Waiting(base::TimePoint aNow) const;

  // An answer came, whatever it said.
  void OnAnswer();
  // A connection failed, or an answer broke off.
  void OnFailure(base::TimePoint aNow);
  // It rejected a request for want of room.
  void OnOverloaded(base::TimePoint aNow);
  // It answered with a failure of its own, or with success.
  void OnOutcome(bool aGood);

  // It gets no requests before this moment.
  base::TimePoint BackoffUntil() const { return m_backoffUntil; }
  // Share of failures among its recent answers, 0 to 1.
  double FailureShare() const { return m_failureShare; }

  // An answer took aRatio times as long as usual.
  void OnLatencyRatio(double aRatio, base::TimePoint aNow);
  // How much slower than usual it is believed to be; 1 is usual. Goes back to 1
  // when nothing is heard, so that the upstream is tried again.
  double Slowdown(base::TimePoint aNow) const;

  // Bytes of an answer came.
  void OnBytesReceived(base::TimePoint aNow) { m_lastReceivedAt = aNow; }
  // An answer's events begin to come, or no more of them are expected.
  void OnStreamBegun(base::TimePoint aNow);
  void OnStreamEnded() { m_streams -= m_streams > 0 ? 1 : 0; }
  // Whether it is in the middle of streams and has sent nothing for long, as
  // one that was cut off does.
  bool IsSilent(base::TimePoint aNow) const;
  base::TimePoint LastReceivedAt() const { return m_lastReceivedAt; }

  RateBucket& ColdBucket() { return m_coldBucket; }

  // Prompt parts that this entry sent there lately.
  void OnPromptPartSent(const std::string& aModelAndPart, base::TimePoint aNow);
  bool LikelyCaches(const std::string& aModelAndPart,
                    base::TimePoint aNow) const;

private:
  uint32_t m_inFlight = 0; // of this entry
  uint32_t m_awaited = 0;  // of those, without a head
  ReportedLoad m_reported;
  uint32_t m_failures = 0; // in a row
  base::TimePoint m_backoffUntil;
  double m_failureShare = 0;
  double m_slowdown = 1;
  base::TimePoint m_slowdownAt; // of the last update
  uint32_t m_streams = 0;       // of this entry, whose events are coming
  base::TimePoint m_lastReceivedAt;
  RateBucket m_coldBucket;
  std::unordered_map<std::string, base::TimePoint> m_parts; // last use
};

} // namespace chivefront::routing
