// One attempt of one request: sends the request to its upstream and streams the
// answer to the entry. When its link is lost, the attempt goes on for a bounded
// time, so that the entry can resume the stream over a new link.
//
// All state is used on the strand of the attempt; the public functions may be
// called from any thread.
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

// How long an attempt without a link waits for its entry to reconnect before
// its request is cancelled. Covers the detection of a silent link (1.5 s) and
// several attempts to connect.
inline constexpr base::Millis kResumeGrace{ 5000 };

// What an attempt needs from the agent. Thread-safe.
class AttemptHost
{
public:
  virtual ~AttemptHost() = default;

  virtual base::TimePoint Now() const = 0;
  // Checks the dispatch again directly before the first byte is sent. An error
  // means that the request must not be sent.
  virtual absl::Status CheckBeforeSend(const wire::DispatchT& aDispatch) = 0;
  // The first byte of the answer arrived.
  virtual void OnFirstByte(const AttemptPointer& aAttempt) = 0;
  // The attempt no longer occupies a slot of its upstream.
  virtual void OnSlotFreed(const AttemptPointer& aAttempt,
                           UpstreamOutcome aOutcome) = 0;
  // The result is known and is about to be sent to the entry.
  virtual void OnResult(const AttemptPointer& aAttempt,
                        Settlement aSettlement) = 0;
  // The upstream may be lost, because a connection or a cancellation failed.
  // Asks the agent to probe it.
  virtual void RequestProbe(const std::string& aUpstream) = 0;
  virtual wire::UpstreamInfoT UpstreamInfoOf(const std::string& aUpstream) = 0;
  // The cost of aUsage by the prices of the catalogue, in millionths of a
  // currency unit.
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
  // Ends an attempt of which no byte was sent, so that its request certainly
  // did not run.
  void Reject(absl::Status aReason, base::Millis aRetryAfter);
  // Adds aBytes of credit. Credit that arrives over a former link is ignored,
  // because the Resume over the new link replaced it.
  void AddCredit(net::Link::Pointer aLink, uint32_t aBytes);
  void Resume(net::Link::Pointer aLink,
              uint32_t aNextSequence,
              uint32_t aCredit);
  void OnLinkClosed(net::Link::Pointer aLink);
  // Cancels the request: the entry does not need the answer any more.
  void Cancel();
  void OnUpstreamLost();
  // The link has been lost for kResumeGrace. Cancels the request; when its
  // claim needs the result, reads the answer to its end without the entry
  // instead.
  void OnEntryLost();

  const AttemptKey& Key() const { return m_key; }
  const wire::DispatchT& Dispatch() const { return m_dispatch; }
  // The entry process that dispatched this attempt, with its incarnation.
  const std::string& Entry() const { return m_entry; }
  base::TimePoint CreatedAt() const { return m_createdAt; }
  bool LinkLostTooLong() const
  {
    return m_linkLost && m_host.Now() - m_linkLostAt.load() >= kResumeGrace;
  }
  // True once the result was sent, or once the entry stayed away for so long
  // that nobody receives it.
  bool IsDelivered() const { return m_delivered || LinkLostTooLong(); }
  // Bytes of the answer in memory after the last change of the buffer.
  size_t HeldBytes() const { return m_heldBytes; }
  // True once the result is known. FinishedAt() then returns when.
  bool IsFinished() const { return m_finished; }
  bool IsRejected() const { return m_isRejected; }
  base::TimePoint FinishedAt() const { return m_finishedAt.load(); }

private:
  using Strand = net::asio::strand<net::asio::io_context::executor_type>;

  // Why an attempt is ended before its answer is complete.
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
  // True for a response status with which an engine rejects a request or
  // reports a fault.
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
  wire::DispatchT m_dispatch; // MakeRequest() moves the body out
  const AttemptKey m_key;
  const std::string m_entry;
  const base::TimePoint m_createdAt;
  std::atomic<bool> m_finished{ false };
  std::atomic<base::TimePoint> m_finishedAt{ base::TimePoint() };
  std::atomic<size_t> m_heldBytes{ 0 };
  std::atomic<bool> m_isRejected{ false };
  std::atomic<bool> m_delivered{ false };
  std::atomic<bool> m_linkLost{ false };
  std::atomic<base::TimePoint> m_linkLostAt{ base::TimePoint() };

  // The members below are used on the strand only.
  net::Link::Pointer m_link; // null while the link is lost
  UpstreamDescription m_upstream;
  net::asio::steady_timer m_wakeTimer;
  StreamBuffer m_buffer;
  AnswerScanner m_scanner;
  std::unique_ptr<net::HttpClientStream> m_stream;
  std::function<void()> m_abortOpen; // set while Open() waits for the header
  int m_httpStatus = 0;
  std::string m_contentType;
  bool m_launched = false;
  bool m_sent = false; // a byte may have reached the upstream
  bool m_firstByteSeen = false;
  // The entry is lost, but the answer is still read to its end, because the
  // claim records it.
  bool m_readingForClaim = false;
  bool m_cancelPending = false; // CancelAtEngine() from Stop() still runs
  StopReason m_stopReason = StopReason::None;
  std::optional<wire::RejectedT> m_rejected;
  std::optional<wire::EndT> m_end; // sent once the buffer is drained
  bool m_endSent = false;          // over the current link
};

} // namespace chivefront::agent
