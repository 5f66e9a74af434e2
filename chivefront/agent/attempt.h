// One attempt of one request: forwards it to its upstream and streams the
// answer to the entry. Survives the loss of its link for a bounded time.
//
// All state is used on the run's strand; the public functions may be called
// from any thread.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "chivefront/agent/acceptance.h"
#include "chivefront/agent/answer_scanner.h"
#include "chivefront/agent/attempt_key.h"
#include "chivefront/agent/settlement.h"
#include "chivefront/agent/stream_buffer.h"
#include "chivefront/agent/upstream_state.h"
#include "chivefront/base/errors.h"
#include "chivefront/net/http_client.h"
#include "chivefront/net/link.h"

namespace chivefront::agent {

class Attempt;
using AttemptPointer = std::shared_ptr<Attempt>;

// How long a stream waits for its entry to come back before its request is
// cancelled. Covers the detection of a silent link (1.5 s) and a few attempts
// to connect.
inline constexpr base::Millis kResumeGrace{ 5000 };

// What a run needs from the agent. Thread-safe.
class AttemptHost
{
public:
  virtual ~AttemptHost() = default;

  virtual base::TimePoint Now() const = 0;
  // The check directly before the first byte is sent.
  virtual absl::Status CheckBeforeSend(const wire::DispatchT& aDispatch) = 0;
  // The first byte of the answer came.
  virtual void OnFirstByte(const AttemptPointer& aAttempt) = 0;
  // The run does not occupy its upstream any more.
  virtual void OnSlotFreed(const AttemptPointer& aAttempt,
                           UpstreamOutcome aOutcome) = 0;
  // The result is known and is about to be sent.
  virtual void OnResult(const AttemptPointer& aAttempt,
                        Settlement aSettlement) = 0;
  // The upstream did not behave like a living one.
  virtual void RequestProbe(const std::string& aUpstream) = 0;
  virtual wire::UpstreamInfoT UpstreamInfoOf(const std::string& aUpstream) = 0;
  // Cost by the catalogue, in millionths of a currency unit.
  virtual uint64_t CostOf(const std::string& aVersion, const Usage& aUsage) = 0;
  virtual uint64_t Revision() const = 0;
};

class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
  Attempt(net::asio::io_context& aContext,
          AttemptHost& aHost,
          wire::DispatchT aDispatch,
          net::Link::Pointer aLink,
          std::string aEntry);

  // Sends the request to aUpstream.
  void Launch(const UpstreamDescription& aUpstream);
  // Ends a run that was never launched: certainly not run.
  void Reject(absl::Status aReason, base::Millis aRetryAfter);
  // Credit of a former link is void: a Resume replaced it.
  void AddCredit(net::Link::Pointer aLink, uint32_t aBytes);
  void Resume(net::Link::Pointer aLink,
              uint32_t aNextSequence,
              uint32_t aCredit);
  void OnLinkClosed(net::Link::Pointer aLink);
  // The entry does not want the answer any more.
  void Cancel();
  void OnUpstreamLost();
  // The link has been away too long: cancels the run, or, when its claim
  // needs the result, goes on without the entry.
  void OnEntryLost();

  const AttemptKey& Key() const { return m_key; }
  const wire::DispatchT& Dispatch() const { return m_dispatch; }
  // The process that dispatched this run, with its incarnation.
  const std::string& Entry() const { return m_entry; }
  base::TimePoint CreatedAt() const { return m_createdAt; }
  bool LinkLostTooLong() const
  {
    return m_linkLost && m_host.Now() - m_linkLostAt.load() >= kResumeGrace;
  }
  // True once the result was sent, or nobody is left to get it.
  bool IsDelivered() const { return m_delivered || LinkLostTooLong(); }
  // Bytes of the answer in memory, as of the last change.
  size_t HeldBytes() const { return m_heldBytes; }
  // True once the result is known; then OverAt() is when.
  bool IsFinished() const { return m_finished; }
  bool IsRejected() const { return m_isRejected; }
  base::TimePoint FinishedAt() const { return m_finishedAt.load(); }

private:
  using Strand = net::asio::strand<net::asio::io_context::executor_type>;

  // Why a run is ended before its answer is complete.
  enum class StopReason
  {
    None,
    CanceledByEntry,
    EntryLost,
    UpstreamLost,
  };

  void PostToStrand(std::function<void()> aBody);
  net::Task<void> Forward(UpstreamDescription aUpstream);
  net::Task<void> OnOpenFailed(absl::Status aReason);
  net::Task<absl::Status> RelayAnswer();
  net::Task<void> FinishAndFreeSlot(absl::Status aStatus);
  net::Task<absl::Status> RelayPiece(std::string_view aPiece);
  net::Task<void> CancelAtEngine();
  net::Task<void> WaitForWake();
  bool IsPlainService() const { return !m_dispatch.service.empty(); }
  // An engine's answers with these statuses are refusals or faults.
  static bool IsEngineFailure(int aHttpStatus);
  net::HttpRequest MakeRequest();
  net::HttpTimeouts Timeouts() const;
  absl::Status BeforeSend(std::function<void()> aAbort);
  void Stop(StopReason aReason);
  absl::Status StopStatus() const;
  void RecordResult(const absl::Status& aStatus);
  Settlement MakeSettlement(const wire::EndT& aEnd) const;
  UpstreamOutcome UpstreamOutcomeOf(const absl::Status& aStatus) const;
  void SendStarted();
  Settlement MakeReleasedClaim() const;
  void SendRejected();
  void Flush();
  bool MayRead() const;
  template<typename BodyT>
  void Send(BodyT aBody);

  Strand m_strand;
  AttemptHost& m_host;
  wire::DispatchT m_dispatch; // the body is moved out when it is sent
  const AttemptKey m_key;
  const std::string m_entry;
  const base::TimePoint m_createdAt;
  std::atomic<bool> m_finished{ false };
  std::atomic<base::TimePoint> m_finishedAt{ base::TimePoint() };
  std::atomic<size_t> m_heldBytes{ 0 };
  std::atomic<bool> m_isRejected{ false };
  std::atomic<bool> m_delivered{ false };
  std::atomic<bool> m_linkLost{ false }; // true while the link is lost
  std::atomic<base::TimePoint> m_linkLostAt{ base::TimePoint() };

  // Used on the strand only.
  net::Link::Pointer m_link; // null while the link is lost
  UpstreamDescription m_upstream;
  net::asio::steady_timer m_wakeTimer;
  StreamBuffer m_buffer;
  AnswerScanner m_scanner;
  std::unique_ptr<net::HttpClientStream> m_stream;
  std::function<void()> m_abortOpen; // set while Open waits for the header
  int m_httpStatus = 0;
  std::string m_contentType;
  bool m_launched = false;
  bool m_sent = false; // a byte may have reached the upstream
  bool m_firstByteSeen = false;
  // The answer is read to its end without an entry: its claim is recorded.
  bool m_readingForClaim = false;
  bool m_cancelPending = false; // the engine was asked to cancel
  StopReason m_stopReason = StopReason::None;
  std::optional<wire::RejectedT> m_rejected;
  std::optional<wire::EndT> m_end; // sent once the buffer is drained
  bool m_endSent = false;          // over the present link
};

} // namespace chivefront::agent
