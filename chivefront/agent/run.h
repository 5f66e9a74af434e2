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
#include "chivefront/agent/run_key.h"
#include "chivefront/agent/settlement.h"
#include "chivefront/agent/stream_buffer.h"
#include "chivefront/agent/upstream_state.h"
#include "chivefront/base/errors.h"
#include "chivefront/net/http_client.h"
#include "chivefront/net/link.h"

namespace chivefront::agent {

class Run;
using RunPointer = std::shared_ptr<Run>;

// How long a stream waits for its entry to come back before its request is
// cancelled. Covers the detection of a silent link (1.5 s) and a few attempts
// to connect.
inline constexpr base::Millis kResumeGrace{ 5000 };

// What a run needs from the agent. Thread-safe.
class RunHost
{
public:
  virtual ~RunHost() = default;

  virtual base::TimePoint Now() const = 0;
  // The check directly before the first byte is sent.
  virtual absl::Status CheckBeforeSend(const wire::DispatchT& aDispatch) = 0;
  // The first byte of the answer came.
  virtual void FirstByte(const RunPointer& aRun) = 0;
  // The run does not occupy its upstream any more.
  virtual void SlotFreed(const RunPointer& aRun, Ending aEnding) = 0;
  // The result is known and is about to be sent.
  virtual void ResultKnown(const RunPointer& aRun, Settlement aSettlement) = 0;
  // The upstream did not behave like a living one.
  virtual void Suspect(const std::string& aUpstream) = 0;
  virtual wire::UpstreamInfoT LoadOf(const std::string& aUpstream) = 0;
  // Cost by the catalogue, in millionths of a currency unit.
  virtual uint64_t CostOf(const std::string& aVersion, const Usage& aUsage) = 0;
  virtual uint64_t Revision() const = 0;
};

class Run : public std::enable_shared_from_this<Run>
{
public:
  Run(net::asio::io_context& aContext,
      RunHost& aHost,
      wire::DispatchT aDispatch,
      net::Link::Pointer aLink,
      std::string aEntry);

  // Sends the request to aUpstream.
  void Launch(const UpstreamFacts& aUpstream);
  // Ends a run that was never launched: certainly not run.
  void Reject(absl::Status aWhy, base::Millis aRetryAfter);
  void AddCredit(uint32_t aBytes);
  void Resume(net::Link::Pointer aLink,
              uint32_t aNextSequence,
              uint32_t aCredit);
  void LinkClosed(net::Link::Pointer aLink);
  // The entry does not want the answer any more.
  void Cancel();
  void UpstreamLost();
  // The link has been away too long: cancels the run, or, when its claim
  // needs the result, goes on without the entry.
  void EntryLost();

  const RunKey& Key() const { return m_key; }
  const wire::DispatchT& Dispatch() const { return m_dispatch; }
  // The process that dispatched this run, with its incarnation.
  const std::string& Entry() const { return m_entry; }
  base::TimePoint CreatedAt() const { return m_createdAt; }
  bool LinkLostTooLong() const
  {
    return m_detached && m_host.Now() - m_detachedAt.load() >= kResumeGrace;
  }
  // True once the result was sent, or nobody is left to get it.
  bool Delivered() const { return m_delivered || LinkLostTooLong(); }
  // True once the result is known; then OverAt() is when.
  bool Over() const { return m_over; }
  base::TimePoint OverAt() const { return m_overAt.load(); }

private:
  using Strand = net::asio::strand<net::asio::io_context::executor_type>;

  // Why a run is ended before its answer is complete.
  enum class Stop
  {
    None,
    ByEntry,
    EntryLost,
    UpstreamLost,
  };

  void OnStrand(std::function<void()> aBody);
  net::Task<void> Forward(UpstreamFacts aUpstream);
  net::Task<void> FailOpen(absl::Status aWhy);
  net::Task<absl::Status> Relay();
  net::Task<absl::Status> TakePiece(std::string_view aPiece);
  net::Task<void> CancelAtEngine();
  net::Task<void> Wait();
  net::HttpRequest MakeRequest();
  net::HttpTimeouts Timeouts() const;
  absl::Status BeforeSend(std::function<void()> aAbort);
  void Halt(Stop aWhy);
  absl::Status StopStatus() const;
  void Conclude(const absl::Status& aStatus);
  Settlement MakeSettlement(const wire::EndT& aEnd) const;
  Ending EndingOf(const absl::Status& aStatus) const;
  Settlement ReleasedClaim() const;
  void SendRejected();
  void Flush();
  bool MayRead() const;
  template<typename BodyT>
  void Send(BodyT aBody);

  Strand m_strand;
  RunHost& m_host;
  wire::DispatchT m_dispatch; // the body is moved out when it is sent
  const RunKey m_key;
  const std::string m_entry;
  const base::TimePoint m_createdAt;
  std::atomic<bool> m_over{ false };
  std::atomic<base::TimePoint> m_overAt{ base::TimePoint() };
  std::atomic<bool> m_delivered{ false };
  std::atomic<bool> m_detached{ false }; // true while the link is lost
  std::atomic<base::TimePoint> m_detachedAt{ base::TimePoint() };

  // Used on the strand only.
  net::Link::Pointer m_link; // null while the link is lost
  UpstreamFacts m_upstream;
  net::asio::steady_timer m_wake;
  StreamBuffer m_buffer;
  AnswerScanner m_scanner;
  std::unique_ptr<net::HttpClientStream> m_stream;
  std::function<void()> m_abortOpen; // set while Open waits for the header
  int m_httpStatus = 0;
  std::string m_contentType;
  bool m_launched = false;
  bool m_sent = false; // a byte may have reached the upstream
  bool m_firstByte = false;
  // The answer is read to its end without an entry: its claim is recorded.
  bool m_unattended = false;
  bool m_cancelPending = false; // the engine was asked to cancel
  Stop m_stop = Stop::None;
  std::optional<wire::RejectedT> m_rejected;
  std::optional<wire::EndT> m_end; // sent once the buffer is drained
  bool m_endSent = false;          // over the present link
};

} // namespace chivefront::agent
