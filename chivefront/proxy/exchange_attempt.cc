// One attempt: a connection, the request, the head of the answer and its body.
#include <algorithm>

#include "chivefront/base/errors.h"
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/forwarding.h"
#include "chivefront/proxy/retry_times.h"
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

// The largest model of an upstream reads at least this fast when it is idle.
constexpr double kSlowestTokensPerMs = 30;

// An answer that takes this many times as long as usual counts against its
// version.
constexpr double kSlowAnswer = 3.5;
// Fixed part of the time to the head, as tokens that are read meanwhile.
constexpr double kFixedTokens = 3000;
// Pieces of a stream from which its pace can be told.
constexpr uint64_t kFewestPieces = 8;

constexpr unsigned kFirstFailure = 500;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kAfterSuccess = 300;

// A timer that fires this late tells that the process stood still.
constexpr base::Millis kLateTimer{ 150 };

// Counts a stream at its upstream while its events are awaited, which is not
// while the caller is written to.
class RunningStream
{
public:
  explicit RunningStream(routing::Belief& aBelief)
    : m_belief(aBelief)
  {
  }
  ~RunningStream() { Pause(); }
  RunningStream(const RunningStream&) = delete;
  RunningStream& operator=(const RunningStream&) = delete;

  void Pause()
  {
    if (m_counted) {
      m_counted = false;
      m_belief.OnStreamEnded();
    }
  }
  void Resume(base::TimePoint aNow)
  {
    m_counted = true;
    m_belief.OnStreamBegun(aNow);
  }

private:
  routing::Belief& m_belief;
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
  m_lastUpstream = aUpstream->m_instance.m_id;
  m_tried.push_back(m_lastUpstream);
  aUpstream->m_belief.OnSent();
  m_awaitsHead = true;
  AttemptEnd end = co_await Converse(aUpstream);
  m_silenceTimer.cancel();
  NoteHead(*aUpstream);
  aUpstream->m_belief.OnEnded();
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
    aUpstream->m_belief.OnFailure(m_parts.m_clock.Now());
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
  WatchSilence(aUpstream, std::min(m_headPatience, routing::kSilence));
  status = co_await m_connection->Send(std::move(text));
  if (m_stop != Stop::No) {
    co_return Stopped{};
  }
  if (!status.ok()) {
    m_connection->Close();
    aUpstream->m_belief.OnFailure(m_parts.m_clock.Now());
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
  AnswerFacts facts;
  for (int stray = 0;; ++stray) {
    const auto& head = m_connection->Head();
    facts =
      m_parts.m_dialect.ReadAnswer(static_cast<int>(head.result_int()), head);
    if (facts.m_attempt == m_facts.m_attempt) {
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
  if (facts.m_load) {
    aUpstream.m_belief.OnLoad(
      facts.m_load->m_running, facts.m_load->m_waiting, now);
  }
  if (facts.m_wrongUpstream) {
    m_connection->Close();
    m_parts.m_upstreams.Forget(aUpstream.m_instance.m_id);
    co_return NotRun{ "wrong_upstream" };
  }
  if (facts.m_notRun) {
    aUpstream.m_belief.OnFull(now);
    m_connection->Close();
    co_return NotRun{ "rejected_" + std::to_string(status) };
  }
  aUpstream.m_belief.OnAnswer();
  NoteHeadPace(aUpstream);
  std::string head = ForwardedHead(m_connection->Head());
  if (!detail::IsSuccess(status)) {
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
  m_parts.m_metrics.TimesOf(*m_route).m_toHead.Observe(
    static_cast<double>((now - m_received).Count()));
  if (m_route->m_stream) {
    co_return co_await PassEvents(aUpstream, std::move(head));
  }
  co_return co_await PassWhole(aUpstream, std::move(head));
}

net::Task<Exchange::AttemptEnd>
Exchange::PassWhole(Upstream& aUpstream, std::string aHead)
{
  const unsigned status = m_connection->Head().result_int();
  std::string body;
  bool streaming = false;
  while (true) {
    const auto piece = co_await m_connection->Read();
    if (m_stop != Stop::No) {
      co_return Stopped{};
    }
    if (!piece.ok()) {
      m_connection->Close();
      aUpstream.m_belief.OnFailure(m_parts.m_clock.Now());
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
    absl::Status written;
    if (!streaming) {
      streaming = true;
      std::string head = aHead;
      written =
        co_await m_caller->BeginStream(std::move(head), m_parts.m_draining);
    }
    if (written.ok()) {
      written = co_await m_caller->WritePiece(std::move(body));
    }
    body.clear();
    if (!written.ok()) {
      co_return Stopped{};
    }
  }
  const bool good = status < detail::kFirstFailure;
  m_parts.m_evidence.Note(
    m_service->m_name, aUpstream.m_instance.m_version, good && !m_slow);
  aUpstream.m_belief.OnOutcome(good);
  if (streaming) {
    (void)co_await m_caller->EndStream();
    co_return Delivered{};
  }
  if (!good) {
    co_return FailedThere{ std::move(aHead), std::move(body) };
  }
  (void)co_await m_caller->WriteWhole(
    std::move(aHead), std::move(body), m_parts.m_draining);
  co_return Delivered{};
}

net::Task<Exchange::AttemptEnd>
Exchange::PassEvents(Upstream& aUpstream, std::string aHead)
{
  detail::RunningStream running(aUpstream.m_belief);
  running.Resume(m_headAt);
  while (true) {
    const auto piece = co_await m_connection->Read();
    if (m_stop != Stop::No) {
      co_return Stopped{};
    }
    if (!piece.ok()) {
      m_connection->Close();
      aUpstream.m_belief.OnFailure(m_parts.m_clock.Now());
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
    m_writing = true;
    absl::Status written;
    if (!m_caller->Started()) {
      std::string head = aHead;
      written =
        co_await m_caller->BeginStream(std::move(head), m_parts.m_draining);
    }
    if (written.ok()) {
      written = co_await m_caller->WritePiece(std::move(events));
    }
    if (!written.ok()) {
      m_connection->Close();
      co_return Stopped{};
    }
    NotePassed();
    // Only from now on it could have sent more.
    m_writing = false;
    m_pieceAt = m_parts.m_clock.Now();
    running.Resume(m_pieceAt);
  }
  if (!m_events.Rest().empty()) {
    co_return CutOff{ "ended in an event" };
  }
  NoteEventPace(aUpstream);
  m_parts.m_evidence.Note(
    m_service->m_name, aUpstream.m_instance.m_version, !m_slow);
  aUpstream.m_belief.OnOutcome(true);
  if (!m_caller->Started()) {
    std::string head = aHead;
    (void)co_await m_caller->BeginStream(std::move(head), m_parts.m_draining);
  }
  (void)co_await m_caller->EndStream();
  co_return Delivered{};
}

// How long the head of an answer is waited for before another upstream is
// asked. A request that can't be repeated, or has no attempt left, waits.
base::Millis
Exchange::HeadPatience(const Upstream& aUpstream) const
{
  const bool last = m_sends >= m_route->m_maxAttempts;
  const base::TimePoint now = m_parts.m_clock.Now();
  const bool busy = aUpstream.m_belief.Load(now) >
                    static_cast<double>(aUpstream.m_instance.m_slots);
  if (!IsRepeatable() || last || busy || m_route->m_goal <= base::Millis(0)) {
    return Left() + detail::kRetryLater; // the deadline comes first
  }
  const auto reading =
    static_cast<int64_t>(m_facts.m_promptTokens / detail::kSlowestTokensPerMs);
  return m_route->m_goal / 2 + base::Millis(reading);
}

// Looks after aWait whether the running attempt gets an answer.
void
Exchange::WatchSilence(const UpstreamPointer& aUpstream, base::Millis aWait)
{
  const base::TimePoint due = m_parts.m_clock.Now() + aWait;
  m_silenceTimer.expires_after(aWait.ToChrono());
  m_silenceTimer.async_wait(
    [self = shared_from_this(), aUpstream, send = m_sends, due](
      const boost::system::error_code& aError) {
      if (aError || self->m_sends != send || !self->m_connection) {
        return;
      }
      // After a pause of the process itself, what has arrived is read first.
      if (self->m_parts.m_clock.Now() - due > detail::kLateTimer) {
        self->WatchSilence(aUpstream, routing::kSilence);
        return;
      }
      self->OnSilence(aUpstream);
    });
}

// Leaves the upstream when another one is likely to answer sooner.
void
Exchange::OnSilence(const UpstreamPointer& aUpstream)
{
  const base::TimePoint now = m_parts.m_clock.Now();
  const routing::Belief& belief = aUpstream->m_belief;
  const bool headRead = m_headAt != base::TimePoint();
  const bool leaves =
    headRead
      ? routing::LeavesStream(belief, m_route->m_pauseGoal, m_pieceAt, now)
      : routing::LeavesHead(belief, m_headPatience, m_sentAt, now);
  if (m_writing || !leaves || !MayGoElsewhere()) {
    WatchSilence(aUpstream, routing::kSilence);
    return;
  }
  m_parts.m_log.Record("silent_upstream_left",
                       base::LogWeight::Failure,
                       { { "request", m_facts.m_attempt },
                         { "upstream", m_lastUpstream },
                         { "head", headRead ? "read" : "awaited" },
                         { "waited_ms", (now - m_sentAt).Count() },
                         { "silent_ms", (now - m_pieceAt).Count() },
                         { "heard_ms", (now - belief.HeardAt()).Count() } });
  m_connection->Close();
}

// Whether a repeat was taken from the budget for an upstream that is there.
bool
Exchange::MayGoElsewhere()
{
  const bool resumable = !m_caller->Started() || m_events.LastId();
  if (!IsRepeatable() || !resumable || m_repeatGranted ||
      !m_parts.m_upstreams.AnyOpen(Need())) {
    return false;
  }
  m_repeatGranted = MayRepeat();
  return m_repeatGranted;
}

void
Exchange::NotePiece(Upstream& aUpstream)
{
  m_pieceAt = m_parts.m_clock.Now();
  aUpstream.m_belief.OnHeard(m_pieceAt);
}

void
Exchange::NoteHead(Upstream& aUpstream)
{
  if (m_awaitsHead) {
    m_awaitsHead = false;
    aUpstream.m_belief.OnHead();
  }
}

void
Exchange::NoteHeadPace(Upstream& aUpstream)
{
  m_headAt = m_parts.m_clock.Now();
  m_pieceAt = m_headAt;
  m_pieces = 0;
  const auto waited = static_cast<double>((m_headAt - m_sentAt).Count());
  const double size = detail::kFixedTokens + m_facts.m_promptTokens;
  const double ratio = m_parts.m_paces.Ratio(
    "head/" + m_route->m_name + "/" + Model(), (waited + 1) / size);
  m_slow = ratio > detail::kSlowAnswer;
  aUpstream.m_belief.OnPace(ratio, m_headAt);
}

// Time between the events of a stream.
void
Exchange::NoteEventPace(Upstream& aUpstream)
{
  if (m_pieces < detail::kFewestPieces) {
    return;
  }
  const base::TimePoint now = m_parts.m_clock.Now();
  const auto took = static_cast<double>((now - m_headAt).Count());
  const double ratio = m_parts.m_paces.Ratio(
    "event/" + Model(), (took + 1) / static_cast<double>(m_pieces));
  m_slow = m_slow || ratio > detail::kSlowAnswer;
  aUpstream.m_belief.OnPace(ratio, now);
}

void
Exchange::NotePassed()
{
  const base::TimePoint now = m_parts.m_clock.Now();
  if (m_firstPassedAt == base::TimePoint()) {
    m_firstPassedAt = now;
  } else {
    m_longestPause = std::max(m_longestPause, now - m_lastPassedAt);
  }
  m_lastPassedAt = now;
}

void
Exchange::NotePromptParts(Upstream& aUpstream) const
{
  const std::string model = Model();
  for (const PromptPart& part : m_facts.m_parts) {
    aUpstream.m_belief.NotePart(model + "/" + part.m_id, m_parts.m_clock.Now());
  }
}

void
Exchange::LogAttempt(std::string_view aEnd, std::string_view aWhy) const
{
  m_parts.m_log.Record(
    "attempt_failed",
    base::LogWeight::Failure,
    { { "request", m_facts.m_attempt },
      { "end", aEnd },
      { "why", aWhy },
      { "upstream", m_lastUpstream },
      { "model", Model() },
      { "send", static_cast<uint64_t>(m_sends) },
      { "took_ms", (m_parts.m_clock.Now() - m_sentAt).Count() },
      { "last_event", m_events.LastId().value_or(0) } });
}

std::shared_ptr<const std::string>
Exchange::RequestText(const Upstream& aUpstream)
{
  ForwardFacts facts;
  facts.m_left = Left();
  facts.m_instance = aUpstream.m_instance.m_id;
  facts.m_team = m_team != nullptr ? m_team->m_name : "";
  facts.m_model = Model();
  facts.m_lastEvent =
    m_events.LastId() ? m_events.LastId() : m_facts.m_lastEvent;
  facts.m_priority = m_team != nullptr && m_team->m_priority
                       ? *m_team->m_priority
                       : m_route->m_priority;
  return std::make_shared<const std::string>(
    ForwardedRequest(m_caller->Request(), m_parts.m_dialect, facts));
}

} // namespace chivefront::proxy
