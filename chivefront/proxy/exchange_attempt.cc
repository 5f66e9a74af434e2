// Runs one attempt: connects, sends the request, reads the head of the response
// and forwards the body.
#include <algorithm>

#include "chivefront/base/errors.h"
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/forwarding.h"
#include "chivefront/routing/model_choice.h"
#include "chivefront/routing/silence.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

namespace detail {

constexpr base::Millis kConnectTimeout{ 400 };
// A choice of an upstream, and the permits taken with it, are used for this
// long: only a process that was paused takes longer to connect.
constexpr base::Millis kChoiceLifetime{ 600 };
// A response that is not a stream is forwarded only when it is complete, so
// that a broken one can be retried. Larger bodies are forwarded as they arrive,
// and so are those for which the entry has no room.
constexpr size_t kMaxBufferedBytes = 1024 * 1024;
// An upstream in trouble may send an event without end. An event holds a few
// tokens.
constexpr size_t kMaxEventBytes = 256 * 1024;
// Responses to earlier requests that are skipped on one connection.
constexpr int kMaxStrayResponses = 2;

constexpr unsigned kFirstServerError = 500;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;

// Counts a stream in the upstream's estimate while its events are awaited,
// which excludes the time of writes to the caller.
class StreamCounter
{
public:
  explicit StreamCounter(routing::UpstreamEstimate& aEstimate)
    : m_estimate(aEstimate)
  {
  }
  ~StreamCounter() { Pause(); }
  StreamCounter(const StreamCounter&) = delete;
  StreamCounter& operator=(const StreamCounter&) = delete;

  void Pause()
  {
    if (m_counted) {
      m_counted = false;
      m_estimate.OnStreamEnded();
    }
  }
  void Resume(base::TimePoint aNow)
  {
    m_counted = true;
    m_estimate.OnStreamBegun(aNow);
  }

private:
  routing::UpstreamEstimate& m_estimate;
  bool m_counted = false;
};

// Whether callers take the status as a promise that the request has not run.
bool
PromisesNotRun(unsigned aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirectedRequest ||
         aStatus == kTooManyRequests || aStatus == kServiceUnavailable;
}

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

} // namespace detail

net::Task<Exchange::AttemptResult>
Exchange::RunAttempt(UpstreamPointer aUpstream)
{
  ++m_attemptCount;
  m_leftUpstream = false;
  m_answerBegun = false;
  m_survivalRecorded = false;
  m_resumesStream = ResumeAfter().has_value();
  m_countedSuccess.reset();
  m_lastUpstream = aUpstream->m_instance.m_id;
  m_triedUpstreams.push_back(m_lastUpstream);
  m_chosenAt = m_shared.m_clock.Now();
  m_cost =
    routing::CostAt(aUpstream->m_estimate, Criteria().m_choice, m_chosenAt);
  aUpstream->m_estimate.OnSent(m_cost);
  m_upstreamDomain = aUpstream->m_instance.m_domain;
  const LoadCounter::Scope underWay =
    m_shared.m_loads.CountUnderWay(*m_service, m_upstreamDomain);
  m_headPending = true;
  AttemptResult result = co_await SendAndReceive(aUpstream);
  m_stallTimer.cancel();
  EndHeadWait(*aUpstream);
  if (m_abortReason == AbortReason::DeadlineExceeded) {
    CountForVersion(*aUpstream, false);
  }
  aUpstream->m_estimate.OnEnded(m_cost);
  m_eventSplitter.Restart();
  if (m_connection) {
    if (m_abortReason == AbortReason::None && !m_metadata.m_attemptId.empty()) {
      m_shared.m_upstreams.ReturnConnection(*aUpstream,
                                            std::move(m_connection));
    }
    m_connection.reset();
  }
  co_return result;
}

// Whether other requests may use the same connection before or after this one.
// The upstream may close an idle connection while a request is being sent,
// which leaves open whether the request ran. The answer to a request without an
// id can't be told from a late copy of another answer.
bool
Exchange::MayShareConnection() const
{
  return IsRetryable() && !m_metadata.m_attemptId.empty();
}

net::Task<absl::Status>
Exchange::OpenConnection(Upstream& aUpstream)
{
  if (MayShareConnection()) {
    m_connection = m_shared.m_upstreams.TakeIdleConnection(aUpstream);
    if (m_connection) {
      co_return absl::OkStatus();
    }
  }
  m_connection = std::make_unique<UpstreamConnection>(m_caller->Executor());
  const base::Millis time = std::min(detail::kConnectTimeout, TimeLeft());
  co_return co_await m_connection->Connect(aUpstream.m_instance.m_address,
                                           time);
}

net::Task<Exchange::AttemptResult>
Exchange::SendAndReceive(const UpstreamPointer& aUpstream)
{
  absl::Status status = co_await OpenConnection(*aUpstream);
  if (m_abortReason != AbortReason::None) {
    co_return Aborted{};
  }
  if (!status.ok()) {
    aUpstream->m_estimate.OnFailure(m_shared.m_clock.Now());
    co_return NotRun{ "connect: " + std::string(base::MessageOf(status)) };
  }
  if (m_shared.m_clock.Now() - m_chosenAt > detail::kChoiceLifetime) {
    m_triedUpstreams.pop_back(); // it got nothing
    co_return ChoiceExpired{};
  }
  std::shared_ptr<const std::string> request = BuildUpstreamRequest(*aUpstream);
  m_sentAt = m_shared.m_clock.Now();
  ++m_sendCount;
  RecordPromptParts(*aUpstream);
  CountSent(*aUpstream);
  m_headReceivedAt = base::TimePoint();
  m_silentSince = m_sentAt;
  m_unacknowledgedBytes = 0;
  m_unacknowledgedSince = m_sentAt;
  m_writingToCaller = false;
  m_headTimeout = HeadTimeout(*aUpstream);
  StartStallTimer(aUpstream, std::min(m_headTimeout, routing::kSilenceTimeout));
  status = co_await m_connection->SendRequest(std::move(request));
  if (m_abortReason != AbortReason::None) {
    co_return Aborted{};
  }
  if (!status.ok()) {
    m_connection->Close();
    aUpstream->m_estimate.OnFailure(m_shared.m_clock.Now());
    if (base::KindOf(status) == base::ErrorKind::NoUpstream) {
      co_return NotRun{ "send: " + std::string(base::MessageOf(status)) };
    }
    RecordConnectionLost(*aUpstream);
    co_return OutcomeUnknown{ std::string(base::MessageOf(status)) };
  }
  co_return co_await HandleResponse(*aUpstream);
}

net::Task<Exchange::AttemptResult>
Exchange::HandleResponse(Upstream& aUpstream)
{
  ResponseMetadata metadata;
  for (int stray = 0;; ++stray) {
    const auto& head = m_connection->Head();
    metadata = m_shared.m_headerCodec.ParseResponseHeaders(
      static_cast<int>(head.result_int()), head);
    if (metadata.m_attemptId == m_metadata.m_attemptId) {
      break;
    }
    // This is a late response to an earlier request; skip it. The response to
    // this request follows.
    absl::Status status =
      base::MakeError(base::ErrorKind::BadFrame, "responses to other requests");
    while (stray < detail::kMaxStrayResponses) {
      const auto chunk = co_await m_connection->ReadBody();
      status = chunk.status();
      if (!chunk.ok() || chunk->empty()) {
        break;
      }
    }
    if (status.ok()) {
      status = co_await m_connection->ReadHead();
    }
    if (m_abortReason != AbortReason::None) {
      co_return Aborted{};
    }
    if (!status.ok()) {
      m_connection->Close();
      if (base::KindOf(status) != base::ErrorKind::BadFrame) {
        RecordConnectionLost(aUpstream);
      }
      co_return OutcomeUnknown{ "stray answer" };
    }
  }
  EndHeadWait(aUpstream);
  const base::TimePoint now = m_shared.m_clock.Now();
  const unsigned status = m_connection->Head().result_int();
  m_responseStatus = static_cast<int>(status);
  if (metadata.m_load) {
    aUpstream.m_estimate.OnLoad(metadata.m_load->m_running,
                                metadata.m_load->m_waiting,
                                now,
                                metadata.m_load->m_slowdown);
    if (!CurrentModel().empty()) {
      m_shared.m_loadProbes.OnReport(metadata.m_load->m_waiting);
    }
  }
  if (!metadata.m_wrongUpstream) {
    RecordRequestLimit(aUpstream, metadata.m_requestLimit);
    if (metadata.m_leaving) {
      RecordLeaving(aUpstream);
    }
  }
  if (metadata.m_wrongUpstream) {
    m_connection->Close();
    (void)m_shared.m_upstreams.Forget(aUpstream.m_instance);
    co_return NotRun{ "wrong_upstream" };
  }
  if (metadata.m_retryAfter &&
      (metadata.m_notRun || status == detail::kServiceUnavailable)) {
    RecordRest(aUpstream, *metadata.m_retryAfter);
  }
  if (metadata.m_notRun) {
    aUpstream.m_estimate.OnOverloaded(now);
    m_connection->Close();
    co_return NotRun{ "rejected_" + std::to_string(status) };
  }
  aUpstream.m_estimate.OnAnswer(now);
  if (aUpstream.m_estimate.RestUntil() > now) {
    ++aUpstream.m_answersWhileResting;
  }
  RecordHeadLatency(aUpstream);
  if (detail::PromisesNotRun(status)) {
    // The upstream has not said that the request did not run.
    RecordBegun();
    m_connection->Close();
    RecordOutcome(aUpstream, false);
    co_return UpstreamError{ m_responseStatus, {}, {} };
  }
  std::string head = MakeForwardedHead(m_connection->Head());
  if (!detail::IsSuccess(status)) {
    if (m_caller->ResponseStarted()) {
      // Only events may be appended to a stream that has already started.
      RecordBegun();
      m_connection->Close();
      RecordOutcome(aUpstream, status < detail::kFirstServerError);
      co_return UpstreamError{ m_responseStatus, {}, {} };
    }
    co_return co_await ForwardBody(aUpstream, std::move(head));
  }
  if (!metadata.m_sealed ||
      m_connection->Head().count(http::field::content_encoding) > 0) {
    RecordBegun();
    m_connection->Close();
    co_return OutcomeUnknown{ "unsealed" };
  }
  if (metadata.m_confidence && CanEscalate() &&
      !routing::KeepsAnswer(m_modelIndex, *metadata.m_confidence) &&
      TryTakeRetry()) {
    RecordBegun();
    m_connection->Close();
    co_return LowConfidence{ *metadata.m_confidence };
  }
  if (!m_caller->ResponseStarted()) { // not for a resumed stream
    m_streamVersion = aUpstream.m_instance.m_version;
    m_shared.m_metrics.LatencyOf(*m_route).m_toHead.Observe(
      static_cast<double>((now - m_receivedAt).Count()));
  }
  if (m_route->m_stream) {
    co_return co_await ForwardEvents(aUpstream, std::move(head));
  }
  co_return co_await ForwardBody(aUpstream, std::move(head));
}

// Writes aChunk to the caller, preceded by aHead if nothing has been written.
// The upstream is not read meanwhile, so its silence is measured from the end
// of the write.
net::Task<absl::Status>
Exchange::WriteToCaller(const std::string& aHead, std::string aChunk)
{
  m_writingToCaller = true;
  absl::Status written;
  if (!m_caller->ResponseStarted()) {
    std::string head = aHead;
    written =
      co_await m_caller->BeginStream(std::move(head), m_shared.m_draining);
  }
  if (written.ok()) {
    written = co_await m_caller->WriteChunk(std::move(aChunk));
  }
  m_writingToCaller = false;
  m_silentSince = m_shared.m_clock.Now();
  if (written.ok()) {
    RecordBytesSent();
  }
  co_return written;
}

net::Task<Exchange::AttemptResult>
Exchange::ForwardBody(Upstream& aUpstream, std::string aHead)
{
  std::string body;
  HeldBytes::Claim claim(m_shared.m_heldBytes); // of body
  bool streaming = false; // part of the body has been forwarded
  while (true) {
    const auto chunk = co_await m_connection->ReadBody();
    RecordBegun();
    if (m_abortReason != AbortReason::None) {
      co_return Aborted{};
    }
    if (!chunk.ok()) {
      m_connection->Close();
      aUpstream.m_estimate.OnFailure(m_shared.m_clock.Now());
      RecordConnectionLost(aUpstream);
      if (streaming) {
        m_caller->Close();
        co_return Aborted{};
      }
      co_return OutcomeUnknown{ std::string(base::MessageOf(chunk.status())) };
    }
    if (chunk->empty()) {
      break;
    }
    RecordProgress(aUpstream);
    RecordAnswerBegun();
    RecordSurvival();
    body += *chunk;
    if (!streaming && body.size() <= detail::kMaxBufferedBytes &&
        claim.Resize(body.size())) {
      continue;
    }
    streaming = true;
    (void)claim.Resize(0);
    const absl::Status written = co_await WriteToCaller(aHead, std::move(body));
    body.clear();
    if (!written.ok()) {
      co_return Aborted{};
    }
  }
  const bool succeeded =
    m_responseStatus < static_cast<int>(detail::kFirstServerError);
  RecordOutcome(aUpstream, succeeded);
  RecordAnswered();
  if (!succeeded && !streaming) {
    co_return UpstreamError{ m_responseStatus,
                             std::move(aHead),
                             std::move(body) };
  }
  absl::Status written;
  if (streaming) {
    written = co_await m_caller->EndStream();
  } else {
    written = co_await m_caller->WriteResponse(
      std::move(aHead), std::move(body), m_shared.m_draining);
  }
  co_return ResultOfLastWrite(written);
}

net::Task<Exchange::AttemptResult>
Exchange::ForwardEvents(Upstream& aUpstream, std::string aHead)
{
  detail::StreamCounter running(aUpstream.m_estimate);
  running.Resume(m_headReceivedAt);
  while (true) {
    const auto chunk = co_await m_connection->ReadBody();
    RecordBegun();
    if (m_abortReason != AbortReason::None) {
      co_return Aborted{};
    }
    if (!chunk.ok()) {
      m_connection->Close();
      aUpstream.m_estimate.OnFailure(m_shared.m_clock.Now());
      RecordConnectionLost(aUpstream);
      co_return StreamTruncated{ std::string(base::MessageOf(chunk.status())) };
    }
    if (chunk->empty()) {
      break;
    }
    ++m_chunkCount;
    RecordStartOfStream(aUpstream);
    std::string events = m_eventSplitter.Add(*chunk);
    if (m_eventSplitter.PendingBytes() > detail::kMaxEventBytes) {
      m_connection->Close();
      aUpstream.m_estimate.OnFailure(m_shared.m_clock.Now());
      RecordConnectionLost(aUpstream);
      co_return StreamTruncated{ "event too long" };
    }
    if (events.empty()) {
      continue; // bytes without an event are no progress
    }
    m_shared.m_eventTimeouts[CurrentModel()].Record(m_shared.m_clock.Now() -
                                                    m_silentSince);
    RecordProgress(aUpstream);
    RecordAnswerBegun();
    RecordSurvival();
    running.Pause();
    const absl::Status written =
      co_await WriteToCaller(aHead, std::move(events));
    if (!written.ok()) {
      m_connection->Close();
      co_return Aborted{};
    }
    running.Resume(m_silentSince);
  }
  // A crash after the head looks like the end of an unframed stream.
  const bool crashed = !m_answerBegun && m_connection->EndsWithConnection();
  if (crashed || !m_eventSplitter.PartialEvent().empty()) {
    m_connection->Close();
    RecordConnectionLost(aUpstream);
    co_return StreamTruncated{ crashed ? "ended before its first event"
                                       : "ended in an event" };
  }
  RecordEventInterval(aUpstream);
  RecordOutcome(aUpstream, true);
  RecordAnswered();
  absl::Status written;
  if (!m_caller->ResponseStarted()) {
    written =
      co_await m_caller->BeginStream(std::move(aHead), m_shared.m_draining);
  }
  if (written.ok()) {
    written = co_await m_caller->WriteChunk(m_eventSplitter.TakeHeld());
  }
  if (written.ok()) {
    written = co_await m_caller->EndStream();
  }
  co_return ResultOfLastWrite(written);
}

// A response that could not be written in full does not count as sent.
Exchange::AttemptResult
Exchange::ResultOfLastWrite(const absl::Status& aWritten)
{
  if (aWritten.ok()) {
    return ResponseSent{};
  }
  return Aborted{};
}

std::optional<uint64_t>
Exchange::ResumeAfter() const
{
  const std::optional<uint64_t> received = m_eventSplitter.LastId();
  return received ? received : m_metadata.m_lastEventId;
}

std::shared_ptr<const std::string>
Exchange::BuildUpstreamRequest(const Upstream& aUpstream)
{
  ForwardMetadata metadata;
  metadata.m_timeLeft = TimeLeft();
  metadata.m_upstreamId = aUpstream.m_instance.m_id;
  metadata.m_team = m_team != nullptr ? m_team->m_name : "";
  metadata.m_model = CurrentModel();
  metadata.m_lastEventId = ResumeAfter();
  metadata.m_priority = Priority();
  return std::make_shared<const std::string>(MakeForwardedRequest(
    m_caller->Request(), m_shared.m_headerCodec, metadata));
}

} // namespace chivefront::proxy
