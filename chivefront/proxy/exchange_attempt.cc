// One attempt: a connection, the request, the head of the answer and its body.
#include <algorithm>

#include "chivefront/base/errors.h"
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/forwarding.h"
#include "chivefront/routing/model_choice.h"
#include "chivefront/routing/silence.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

namespace detail {

constexpr base::Millis kConnectTime{ 400 };
// A whole answer up to this size is checked to its end before any of it is
// passed on.
constexpr size_t kHeldBytes = 1024 * 1024;
// Answers of other requests that are read past on one connection.
constexpr int kMostStrayAnswers = 2;

constexpr unsigned kFirstFailure = 500;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kAfterSuccess = 300;

// Counts a stream at its upstream while its events are awaited, which is not
// while the caller is written to.
class RunningStream
{
public:
  explicit RunningStream(routing::UpstreamEstimate& aEstimate)
    : m_estimate(aEstimate)
  {
  }
  ~RunningStream() { Pause(); }
  RunningStream(const RunningStream&) = delete;
  RunningStream& operator=(const RunningStream&) = delete;

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

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kAfterSuccess;
}

} // namespace detail

net::Task<Exchange::AttemptEnd>
Exchange::Attempt(UpstreamPointer aUpstream)
{
  ++m_attempts;
  m_lastUpstream = aUpstream->m_instance.m_id;
  m_tried.push_back(m_lastUpstream);
  aUpstream->m_estimate.OnSent();
  m_awaitsHead = true;
  AttemptEnd end = co_await Converse(aUpstream);
  m_silenceTimer.cancel();
  NoteHead(*aUpstream);
  aUpstream->m_estimate.OnEnded();
  m_events.Restart();
  if (m_connection) {
    if (m_stop == Stop::No) {
      m_parts.m_upstreams.GiveBack(*aUpstream, std::move(m_connection));
    }
    m_connection.reset();
  }
  co_return end;
}

net::Task<absl::Status>
Exchange::OpenConnection(Upstream& aUpstream)
{
  // A connection that was idle may be closed by the upstream at the moment of
  // sending; what can't be repeated does not take that risk.
  if (IsRepeatable()) {
    m_connection = m_parts.m_upstreams.TakeIdle(aUpstream);
    if (m_connection) {
      co_return absl::OkStatus();
    }
  }
  m_connection = std::make_unique<UpstreamConnection>(m_caller->Executor());
  const base::Millis time = std::min(detail::kConnectTime, Left());
  co_return co_await m_connection->Connect(aUpstream.m_instance.m_address,
                                           time);
}

net::Task<Exchange::AttemptEnd>
Exchange::Converse(const UpstreamPointer& aUpstream)
{
  absl::Status status = co_await OpenConnection(*aUpstream);
  if (m_stop != Stop::No) {
    co_return Stopped{};
  }
  if (!status.ok()) {
    aUpstream->m_estimate.OnFailure(m_parts.m_clock.Now());
    co_return NotRun{ "connect: " + std::string(base::MessageOf(status)) };
  }
  std::shared_ptr<const std::string> text = RequestText(*aUpstream);
  m_sentAt = m_parts.m_clock.Now();
  ++m_sends;
  NotePromptParts(*aUpstream);
  m_headAt = base::TimePoint();
  m_pieceAt = m_sentAt;
  m_writing = false;
  m_headPatience = HeadPatience(*aUpstream);
  WatchSilence(aUpstream, std::min(m_headPatience, routing::kSilenceTimeout));
  status = co_await m_connection->Send(std::move(text));
  if (m_stop != Stop::No) {
    co_return Stopped{};
  }
  if (!status.ok()) {
    m_connection->Close();
    aUpstream->m_estimate.OnFailure(m_parts.m_clock.Now());
    if (base::KindOf(status) == base::ErrorKind::NoUpstream) {
      co_return NotRun{ "send: " + std::string(base::MessageOf(status)) };
    }
    co_return Lost{ std::string(base::MessageOf(status)) };
  }
  co_return co_await TakeAnswer(*aUpstream);
}

net::Task<Exchange::AttemptEnd>
Exchange::TakeAnswer(Upstream& aUpstream)
{
  ResponseMetadata facts;
  for (int stray = 0;; ++stray) {
    const auto& head = m_connection->Head();
    facts = m_parts.m_headerCodec.ParseResponseHeaders(
      static_cast<int>(head.result_int()), head);
    if (facts.m_attemptId == m_facts.m_attemptId) {
      break;
    }
    // The answer of an earlier request came late; this one's follows.
    absl::Status status =
      base::MakeError(base::ErrorKind::BadFrame, "answers of other requests");
    while (stray < detail::kMostStrayAnswers) {
      const auto piece = co_await m_connection->Read();
      status = piece.status();
      if (!piece.ok() || piece->empty()) {
        break;
      }
    }
    if (status.ok()) {
      status = co_await m_connection->ReadHead();
    }
    if (m_stop != Stop::No) {
      co_return Stopped{};
    }
    if (!status.ok()) {
      m_connection->Close();
      co_return Lost{ "stray answer" };
    }
  }
  NoteHead(aUpstream);
  const base::TimePoint now = m_parts.m_clock.Now();
  const unsigned status = m_connection->Head().result_int();
  m_answerStatus = static_cast<int>(status);
  if (facts.m_load) {
    aUpstream.m_estimate.OnLoad(
      facts.m_load->m_running, facts.m_load->m_waiting, now);
  }
  if (facts.m_wrongUpstream) {
    m_connection->Close();
    m_parts.m_upstreams.Forget(aUpstream.m_instance.m_id);
    co_return NotRun{ "wrong_upstream" };
  }
  if (facts.m_notRun) {
    aUpstream.m_estimate.OnOverloaded(now);
    m_connection->Close();
    co_return NotRun{ "rejected_" + std::to_string(status) };
  }
  aUpstream.m_estimate.OnAnswer();
  NoteHeadPace(aUpstream);
  std::string head = ForwardedHead(m_connection->Head());
  if (!detail::IsSuccess(status)) {
    if (m_caller->Started()) {
      // A stream goes on with events only.
      m_connection->Close();
      NoteOutcome(aUpstream, status < detail::kFirstFailure);
      co_return FailedThere{ m_answerStatus, {}, {} };
    }
    co_return co_await PassWhole(aUpstream, std::move(head));
  }
  if (!facts.m_sealed ||
      m_connection->Head().count(http::field::content_encoding) > 0) {
    m_connection->Close();
    co_return Lost{ "unsealed" };
  }
  if (facts.m_confidence && LargerModelLeft() && !m_caller->Started() &&
      !routing::KeepsAnswer(m_model, *facts.m_confidence) && MayRepeat()) {
    m_connection->Close();
    co_return Doubtful{ *facts.m_confidence };
  }
  if (!m_caller->Started()) { // and not when a stream goes on
    m_parts.m_metrics.TimesOf(*m_route).m_toHead.Observe(
      static_cast<double>((now - m_received).Count()));
  }
  if (m_route->m_stream) {
    co_return co_await PassEvents(aUpstream, std::move(head));
  }
  co_return co_await PassWhole(aUpstream, std::move(head));
}

// Writes aPiece to the caller, with aHead before the first one. Nothing is read
// from the upstream meanwhile, so its silence counts from the end of the write.
net::Task<absl::Status>
Exchange::PassOn(const std::string& aHead, std::string aPiece)
{
  m_writing = true;
  absl::Status written;
  if (!m_caller->Started()) {
    std::string head = aHead;
    written =
      co_await m_caller->BeginStream(std::move(head), m_parts.m_draining);
  }
  if (written.ok()) {
    written = co_await m_caller->WritePiece(std::move(aPiece));
  }
  m_writing = false;
  m_pieceAt = m_parts.m_clock.Now();
  if (written.ok()) {
    NotePassed();
  }
  co_return written;
}

net::Task<Exchange::AttemptEnd>
Exchange::PassWhole(Upstream& aUpstream, std::string aHead)
{
  std::string body;
  bool streaming = false; // parts of this answer have been passed on
  while (true) {
    const auto piece = co_await m_connection->Read();
    if (m_stop != Stop::No) {
      co_return Stopped{};
    }
    if (!piece.ok()) {
      m_connection->Close();
      aUpstream.m_estimate.OnFailure(m_parts.m_clock.Now());
      if (streaming) {
        m_caller->Close();
        co_return Stopped{};
      }
      co_return Lost{ std::string(base::MessageOf(piece.status())) };
    }
    if (piece->empty()) {
      break;
    }
    NotePiece(aUpstream);
    body += *piece;
    if (body.size() <= detail::kHeldBytes && !streaming) {
      continue;
    }
    streaming = true;
    const absl::Status written = co_await PassOn(aHead, std::move(body));
    body.clear();
    if (!written.ok()) {
      co_return Stopped{};
    }
  }
  const bool good = m_answerStatus < static_cast<int>(detail::kFirstFailure);
  NoteOutcome(aUpstream, good);
  if (!good && !streaming) {
    co_return FailedThere{ m_answerStatus, std::move(aHead), std::move(body) };
  }
  absl::Status written;
  if (streaming) {
    written = co_await m_caller->EndStream();
  } else {
    written = co_await m_caller->WriteWhole(
      std::move(aHead), std::move(body), m_parts.m_draining);
  }
  co_return EndOfDelivery(written);
}

net::Task<Exchange::AttemptEnd>
Exchange::PassEvents(Upstream& aUpstream, std::string aHead)
{
  detail::RunningStream running(aUpstream.m_estimate);
  running.Resume(m_headAt);
  while (true) {
    const auto piece = co_await m_connection->Read();
    if (m_stop != Stop::No) {
      co_return Stopped{};
    }
    if (!piece.ok()) {
      m_connection->Close();
      aUpstream.m_estimate.OnFailure(m_parts.m_clock.Now());
      m_parts.m_evidence.Note(
        m_service->m_name, aUpstream.m_instance.m_version, false);
      co_return CutOff{ std::string(base::MessageOf(piece.status())) };
    }
    if (piece->empty()) {
      break;
    }
    ++m_pieces;
    NotePiece(aUpstream);
    std::string events = m_events.Add(*piece);
    if (events.empty()) {
      continue;
    }
    running.Pause();
    const absl::Status written = co_await PassOn(aHead, std::move(events));
    if (!written.ok()) {
      m_connection->Close();
      co_return Stopped{};
    }
    running.Resume(m_pieceAt);
  }
  if (!m_events.Rest().empty()) {
    co_return CutOff{ "ended in an event" };
  }
  NoteEventPace(aUpstream);
  NoteOutcome(aUpstream, true);
  absl::Status written;
  if (!m_caller->Started()) {
    written =
      co_await m_caller->BeginStream(std::move(aHead), m_parts.m_draining);
  }
  if (written.ok()) {
    written = co_await m_caller->EndStream();
  }
  co_return EndOfDelivery(written);
}

// An answer that the caller could not be given in full is not delivered.
Exchange::AttemptEnd
Exchange::EndOfDelivery(const absl::Status& aWritten)
{
  if (aWritten.ok()) {
    return Delivered{};
  }
  return Stopped{};
}

std::shared_ptr<const std::string>
Exchange::RequestText(const Upstream& aUpstream)
{
  ForwardMetadata facts;
  facts.m_timeLeft = Left();
  facts.m_upstreamId = aUpstream.m_instance.m_id;
  facts.m_team = m_team != nullptr ? m_team->m_name : "";
  facts.m_model = Model();
  facts.m_lastEventId =
    m_events.LastId() ? m_events.LastId() : m_facts.m_lastEventId;
  facts.m_priority = m_team != nullptr && m_team->m_priority
                       ? *m_team->m_priority
                       : m_route->m_priority;
  return std::make_shared<const std::string>(
    ForwardedRequest(m_caller->Request(), m_parts.m_headerCodec, facts));
}

} // namespace chivefront::proxy
