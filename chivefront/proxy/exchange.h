// One request of a caller, from its reading to its final answer: route, key,
// choice of upstream and model, attempts, and the answer that is passed on.
//
// An answer of an upstream is passed on only when it is vouched for and
// belongs to this request. A refusal (503) is given only while the request has
// certainly not run; any doubt is a 502 or 504.
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
  Exchange(EntryParts& aParts, std::shared_ptr<CallerConnection> aCaller);

  net::Task<void> Run();

private:
  // Ends of one attempt.
  struct Delivered
  {};
  // The request did not run there and never will.
  struct NotRun
  {
    std::string m_why;
  };
  // It may have run there; nothing of the answer has reached the caller.
  struct Lost
  {
    std::string m_why;
  };
  // The upstream answered with a failure of its own, held back.
  struct FailedThere
  {
    int m_status = 0;
    std::string m_head;
    std::string m_body;
  };
  // The stream broke off after some events.
  struct CutOff
  {
    std::string m_why;
  };
  // The model doubts its answer; none of it has reached the caller.
  struct Doubtful
  {
    int m_confidence = 0;
  };
  // The caller left, the time is over, or the caller can't be written to.
  struct Stopped
  {};
  using AttemptEnd = std::
    variant<Delivered, NotRun, Lost, FailedThere, CutOff, Doubtful, Stopped>;

  enum class Stop
  {
    No,
    CallerLeft,
    TimeOver,
  };

  net::Task<void> AwaitConfiguration();
  net::Task<bool> Accept();
  net::Task<void> Serve();
  net::Task<void> AnswerStop();
  bool MayWaitFor(NoUpstream aWhy, base::TimePoint aSince) const;
  net::Task<AttemptEnd> Attempt(UpstreamPointer aUpstream);
  net::Task<AttemptEnd> Converse(const UpstreamPointer& aUpstream);
  net::Task<absl::Status> OpenConnection(Upstream& aUpstream);
  net::Task<AttemptEnd> TakeAnswer(Upstream& aUpstream);
  net::Task<AttemptEnd> PassWhole(Upstream& aUpstream, std::string aHead);
  net::Task<AttemptEnd> PassEvents(Upstream& aUpstream, std::string aHead);
  net::Task<absl::Status> PassOn(const std::string& aHead, std::string aPiece);
  net::Task<UpstreamPointer> FindUpstream();
  net::Task<void> AnswerNoUpstream(NoUpstream aWhy);
  static AttemptEnd EndOfDelivery(const absl::Status& aWritten);
  // What follows an attempt; true when another one may be made.
  net::Task<bool> Settle(AttemptEnd aEnd);
  net::Task<bool> AfterFailure(FailedThere aFailure);
  net::Task<bool> AfterLoss(std::string aWhy);
  net::Task<bool> AfterNotRun(std::string aWhy);

  net::Task<void> Refuse(int aStatus,
                         std::string aReason,
                         base::Millis aRetryAfter);
  net::Task<void> Fail(int aStatus, std::string aReason);
  net::Task<void> PassFailure(FailedThere aFailure);
  net::Task<void> WriteOwn(std::string aHead, std::string aBody);
  net::Task<void> AnswerTimeOver();

  void Arm();
  void ArmTimer();
  void Disarm();
  void OnTime();
  void OnStop(Stop aWhy);
  base::Millis Patience(const routing::Route& aRoute) const;
  base::Millis HeadPatience(const Upstream& aUpstream) const;
  void WatchSilence(const UpstreamPointer& aUpstream, base::Millis aWait);
  void OnSilence(const UpstreamPointer& aUpstream);
  bool MayGoElsewhere();
  bool MayRepeat();
  bool IsRepeatable() const;
  bool LargerModelLeft() const;
  base::Millis Left() const;
  std::shared_ptr<const std::string> RequestText(const Upstream& aUpstream);
  UpstreamNeed Need() const;
  void NotePromptParts(Upstream& aUpstream) const;
  void NotePiece(Upstream& aUpstream);
  void NoteHead(Upstream& aUpstream);
  void NoteHeadPace(Upstream& aUpstream);
  void NoteEventPace(Upstream& aUpstream);
  void NoteOutcome(Upstream& aUpstream, bool aGood);
  void NotePassed();
  std::string Model() const;
  void LogAttempt(std::string_view aEnd, std::string_view aWhy) const;
  void LogEnd(base::LogWeight aWeight,
              std::string_view aEvent,
              int aStatus,
              std::string_view aReason) const;

  EntryParts& m_parts;
  const std::shared_ptr<CallerConnection> m_caller;
  const base::TimePoint m_received;
  RequestMetadata m_facts;
  routing::ConfigPointer m_config; // keeps what the next three point into
  const routing::Route* m_route = nullptr;
  const routing::Service* m_service = nullptr;
  const routing::Team* m_team = nullptr;
  base::TimePoint m_deadline;
  net::asio::steady_timer m_timer;        // of m_deadline
  net::asio::steady_timer m_silenceTimer; // of the running attempt
  Stop m_stop = Stop::No;
  std::unique_ptr<UpstreamConnection> m_connection; // of the running attempt
  uint32_t m_attempts = 0;                          // begun
  uint32_t m_sends = 0;         // of those, the ones whose request was sent
  bool m_repeatGranted = false; // the next repeat has been taken already
  bool m_mayHaveRun = false;
  std::vector<std::string> m_tried;
  std::string m_lastUpstream;
  size_t m_model = 0; // index into the route's models
  EventSplitter m_events;
  std::optional<FailedThere> m_failure; // of the last attempt that failed
  base::TimePoint m_sentAt;
  bool m_awaitsHead = false;       // the running attempt counts as waiting
  base::TimePoint m_headAt;        // of the running attempt; none yet: not set
  base::TimePoint m_pieceAt;       // newest bytes of the running attempt
  bool m_writing = false;          // to the caller; nothing is read meanwhile
  base::Millis m_headPatience;     // of the running attempt
  int m_answerStatus = 0;          // of the running attempt
  uint64_t m_pieces = 0;           // of the running attempt's stream
  base::TimePoint m_firstPassedAt; // first bytes of the answer to the caller
  base::TimePoint m_lastPassedAt;
  base::Millis m_longestPause; // between bytes that were passed on
  bool m_slow = false; // the running attempt took much longer than usual
};

} // namespace chivefront::proxy
