// Handles one request of a caller: resolves route, service and team, chooses an
// upstream and a model, runs the attempts, and forwards the response.
//
// A successful response of an upstream is forwarded only if it has the response
// seal and belongs to this request. A 503 is sent only if the request has
// certainly not run; if it may have run, the status is 502 or 504.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chivefront/proxy/caller_connection.h"
#include "chivefront/proxy/event_stream.h"
#include "chivefront/proxy/shared_state.h"

namespace chivefront::proxy {

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(SharedState& aShared, std::shared_ptr<CallerConnection> aCaller);

  net::Task<void> Run();
  // Answers the request because the process is about to exit. Returns false and
  // does nothing if its response has begun: the rest of that may still be
  // written in time.
  bool EndForShutdown();

private:
  // Results of one attempt.
  //
  // The response was written to the caller in full.
  struct ResponseSent
  {};
  // The request did not run at the upstream and never will.
  struct NotRun
  {
    std::string m_reason;
  };
  // Nothing was sent, because the choice of the upstream is too old: roll-outs,
  // permits and registrations may have changed since.
  struct ChoiceExpired
  {};
  // The request may have run at the upstream; the caller has received nothing
  // of this response.
  struct OutcomeUnknown
  {
    std::string m_reason;
  };
  // The upstream responded with an error. The response is held back, so that
  // another attempt can replace it. Without a head it must not be forwarded:
  // its status would promise that the request has not run.
  struct UpstreamError
  {
    int m_status = 0;
    std::string m_head;
    std::string m_body;
  };
  // The stream ended early, after some of its events.
  struct StreamTruncated
  {
    std::string m_reason;
  };
  // The confidence that the model reports for its response is too low; nothing
  // of the response has reached the caller.
  struct LowConfidence
  {
    int m_confidence = 0;
  };
  // The caller disconnected, the deadline passed, or the response could not be
  // written in full.
  struct Aborted
  {};
  using AttemptResult = std::variant<ResponseSent,
                                     NotRun,
                                     ChoiceExpired,
                                     OutcomeUnknown,
                                     UpstreamError,
                                     StreamTruncated,
                                     LowConfidence,
                                     Aborted>;

  enum class AbortReason
  {
    None,
    CallerDisconnected,
    DeadlineExceeded,
    ShuttingDown,
  };

  net::Task<void> WaitForConfiguration();
  net::Task<bool> ResolveRoute();
  net::Task<bool> RefuseQuarantined();
  bool MayOutliveDrain() const;
  bool HasQuarantinedPart() const;
  routing::CauseKey MakeRequestKey() const;
  net::Task<void> RunAttempts();
  net::Task<void> RespondToAbort();
  bool MayWaitForUpstream(const AvailableUpstreams& aAvailable,
                          base::Millis aExpectedWait,
                          base::TimePoint aSince) const;
  net::Task<AttemptResult> RunAttempt(UpstreamPointer aUpstream);
  net::Task<AttemptResult> SendAndReceive(const UpstreamPointer& aUpstream);
  bool MayShareConnection() const;
  net::Task<absl::Status> OpenConnection(Upstream& aUpstream);
  net::Task<AttemptResult> HandleResponse(Upstream& aUpstream);
  net::Task<AttemptResult> ForwardBody(Upstream& aUpstream, std::string aHead);
  net::Task<AttemptResult> ForwardEvents(Upstream& aUpstream,
                                         std::string aHead);
  net::Task<absl::Status> WriteToCaller(const std::string& aHead,
                                        std::string aChunk);
  net::Task<UpstreamPointer> FindUpstream();
  net::Task<void> RefreshLoads(const UpstreamCriteria& aCriteria);
  net::Task<void> RespondNoUpstream(NoUpstreamReason aReason,
                                    base::Millis aExpectedWait);
  static AttemptResult ResultOfLastWrite(const absl::Status& aWritten);
  // Handles the result of an attempt. Returns true if another attempt may be
  // made.
  net::Task<bool> HandleResult(AttemptResult aResult);
  net::Task<bool> HandleUpstreamError(UpstreamError aError);
  net::Task<bool> HandleOutcomeUnknown(std::string aReason);
  net::Task<bool> HandleNotRun(std::string aReason);

  net::Task<void> Refuse(int aStatus,
                         std::string aReason,
                         base::Millis aRetryAfter);
  net::Task<void> Fail(int aStatus, std::string aReason);
  net::Task<void> ForwardUpstreamError(UpstreamError aError);
  net::Task<void> WriteOwnResponse(std::string aHead, std::string aBody);
  net::Task<void> RespondDeadlineExceeded();
  net::Task<void> RespondShuttingDown();

  void StartMonitoring();
  void StartDeadlineTimer();
  void StopMonitoring();
  void OnDeadline();
  void Abort(AbortReason aReason);
  base::Millis RequestTimeout(const routing::Route& aRoute) const;
  base::Millis HeadTimeout(const Upstream& aUpstream) const;
  void StartStallTimer(const UpstreamPointer& aUpstream, base::Millis aWait);
  void OnStallTimer(const UpstreamPointer& aUpstream);
  void LeaveUpstream(Upstream& aUpstream);
  bool IsUnacknowledged(base::TimePoint aNow);
  bool TryReserveRetry();
  bool TryTakeRetry();
  bool IsRetryable() const;
  bool HasLargerModel() const;
  base::Millis TimeLeft() const;
  std::shared_ptr<const std::string> BuildUpstreamRequest(
    const Upstream& aUpstream);
  // The event after which the next attempt's stream goes on, if any.
  std::optional<uint64_t> ResumeAfter() const;
  UpstreamCriteria Criteria() const;
  int Priority() const;
  bool CanEscalate() const;
  void RecordPromptParts(Upstream& aUpstream) const;
  void RecordBegun();
  void RecordAnswerBegun();
  void RecordSurvival();
  void RecordAnswered();
  void CountForVersion(const Upstream& aUpstream, bool aSucceeded);
  void RecordConnectionLost(Upstream& aUpstream);
  void RecordRequestLimit(Upstream& aUpstream,
                          const std::optional<double>& aPerSecond);
  void RecordLeaving(const Upstream& aUpstream);
  void RecordRest(Upstream& aUpstream, base::Millis aRest);
  void CountSent(Upstream& aUpstream) const;
  void RecordProgress(Upstream& aUpstream);
  void EndHeadWait(Upstream& aUpstream);
  void RecordHeadLatency(Upstream& aUpstream);
  void RecordReading(const Upstream& aUpstream);
  void RecordEventInterval(Upstream& aUpstream);
  void RecordStartOfStream(const Upstream& aUpstream);
  bool IsSlow(const Upstream& aUpstream, std::string_view aMark);
  void RecordOutcome(Upstream& aUpstream, bool aSucceeded);
  void RecordBytesSent();
  std::string CurrentModel() const;
  void LogFailedAttempt(std::string_view aResult,
                        std::string_view aReason) const;
  void LogEnd(base::LogCategory aCategory,
              std::string_view aEvent,
              int aStatus,
              std::string_view aReason) const;

  SharedState& m_shared;
  const std::shared_ptr<CallerConnection> m_caller;
  const base::TimePoint m_receivedAt;
  RequestMetadata m_metadata;
  routing::ConfigPointer m_config; // owns what the next three point into
  const routing::Route* m_route = nullptr;
  const routing::Service* m_service = nullptr;
  const routing::Team* m_team = nullptr;
  base::TimePoint m_deadline;
  net::asio::steady_timer m_deadlineTimer; // fires at m_deadline
  net::asio::steady_timer m_stallTimer;    // of the running attempt
  AbortReason m_abortReason = AbortReason::None;
  std::unique_ptr<UpstreamConnection> m_connection; // of the running attempt
  uint32_t m_attemptCount = 0;                      // started
  uint32_t m_sendCount = 0; // attempts whose request was sent
  // The next retry is already taken from the budget.
  bool m_retryReserved = false;
  bool m_mayHaveRun = false;
  std::vector<std::string> m_triedUpstreams;
  std::string m_streamVersion; // of the upstream that began the response
  std::string m_lastUpstream;
  std::string m_upstreamDomain; // failure domain of m_lastUpstream
  size_t m_modelIndex = 0;      // index into the route's models
  // Parts of the prompt that other requests may share.
  std::vector<routing::CauseKey> m_sharedParts;
  routing::CauseKey m_requestKey = 0; // the same for each repeat of the caller
  EventSplitter m_eventSplitter;
  // Response of the last attempt that ended with UpstreamError.
  std::optional<UpstreamError> m_upstreamError;
  routing::RequestCost m_cost; // of the running attempt
  base::TimePoint m_chosenAt;  // the upstream of the running attempt
  base::TimePoint m_sentAt;
  bool m_headPending = false; // counted as waiting for a head in the estimate
  base::TimePoint m_headReceivedAt; // of the running attempt; unset before it
  // Last progress of the upstream, an event or bytes of a body, or the end of a
  // write to the caller if later.
  base::TimePoint m_silentSince;
  // Of the running attempt: bytes of the request that the upstream had not
  // acknowledged at the last check (0: all or no check yet), and when it last
  // acknowledged some, or the request was sent.
  size_t m_unacknowledgedBytes = 0;
  base::TimePoint m_unacknowledgedSince;
  bool m_writingToCaller = false; // the upstream is not read meanwhile
  base::Millis m_headTimeout;     // of the running attempt
  // The running attempt was left by this process, as its upstream was silent.
  bool m_leftUpstream = false;
  bool m_usageCounted = false; // the request began to run at an upstream
  // The upstream of the running attempt sent an event or a part of a body.
  bool m_answerBegun = false;
  base::TimePoint m_answerBegunAt; // set when m_answerBegun is
  bool m_survivalRecorded = false; // of the running attempt
  // The running attempt goes on where an earlier one ended.
  bool m_resumesStream = false;
  int m_responseStatus = 0;      // of the running attempt
  uint64_t m_chunkCount = 0;     // of the running attempt's stream
  base::TimePoint m_firstSentAt; // first bytes of the response to the caller
  base::TimePoint m_lastSentAt;
  base::Millis m_longestPause; // between writes to the caller
  // The running attempt took much longer than usual.
  bool m_slowResponse = false;
  // What the running attempt has counted for its upstream's version so far.
  std::optional<bool> m_countedSuccess;
};

} // namespace chivefront::proxy
