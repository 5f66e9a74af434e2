// The life of one request.
#include "chivefront/proxy/exchange.h"

#include <algorithm>

#include "chivefront/base/errors.h"
#include "chivefront/routing/model_choice.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

namespace detail {

constexpr base::Millis kDefaultPatience{ 30000 };
constexpr base::Millis kConnectTime{ 400 };
// Attempts to find an upstream while all are briefly closed.
constexpr base::Millis kFindPeriod{ 15 };
// Registrations come about once a second; a new entry has heard of all
// upstreams after this.
constexpr base::Millis kRegistrationTime{ 3000 };
// Within which nearly all streams end.
constexpr base::Millis kStreamTime{ 6500 };
// Another entry takes the request now.
constexpr base::Millis kRetryElsewhere{ 20 };
// A refused caller has a third of its time left to come back.
constexpr base::Millis kRetrySoon{ 250 };
constexpr base::Millis kRetryLater{ 1000 };
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

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kAfterSuccess;
}

// Headers that concern one connection only.
bool
IsHopByHop(http::field aName)
{
  switch (aName) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

template<typename View>
std::string_view
ToView(const View& aText)
{
  return { aText.data(), aText.size() };
}

} // namespace detail

Exchange::Exchange(EntryParts& aParts,
                   std::shared_ptr<CallerConnection> aCaller)
  : m_parts(aParts)
  , m_caller(std::move(aCaller))
  , m_received(aParts.m_clock.Now())
  , m_facts(aParts.m_dialect.ReadCaller(m_caller->Request()))
  , m_config(aParts.m_watch.View().m_config)
  , m_timer(m_caller->Executor())
  , m_hedgeTimer(m_caller->Executor())
{
}

base::Millis
Exchange::Left() const
{
  return std::max(base::Millis(0), m_deadline - m_parts.m_clock.Now());
}

net::Task<void>
Exchange::Run()
{
  m_parts.m_metrics.m_received.Increment();
  m_deadline =
    m_received + m_facts.m_patience.value_or(detail::kDefaultPatience);
  Arm();
  co_await AwaitConfiguration();
  bool accepted = false;
  if (m_stop == Stop::No) {
    accepted = co_await Accept();
  }
  if (accepted) {
    ArmTimer(); // the route may allow less time
    co_await Serve();
  }
  Disarm();
  co_await AnswerStop();
}

// An entry that has just started learns its configuration within a second as a
// rule; a caller that waits for it is served sooner than one that is refused.
net::Task<void>
Exchange::AwaitConfiguration()
{
  const base::Millis most = Left() / 2;
  while (!m_config && m_stop == Stop::No &&
         m_parts.m_clock.Now() - m_received < most) {
    co_await net::Sleep(detail::kFindPeriod);
    m_config = m_parts.m_watch.View().m_config;
  }
}

// Finds route, key and service; answers the request when there is none.
net::Task<bool>
Exchange::Accept()
{
  if (!m_config) {
    co_await Refuse(503, "no_configuration", detail::kRetryLater);
    co_return false;
  }
  const CallerRequest& request = m_caller->Request();
  std::string_view host = detail::ToView(request[http::field::host]);
  host = host.substr(0, host.find(':'));
  m_route = m_config->FindRoute(host, detail::ToView(request.target()));
  if (m_route == nullptr) {
    co_await Refuse(404, "no_route", base::Millis(0));
    co_return false;
  }
  if (m_config->HasTeams() && !m_route->m_public) {
    m_team = m_config->FindTeam(m_facts.m_key);
    if (m_team == nullptr) {
      co_await Refuse(401, "unknown_key", base::Millis(0));
      co_return false;
    }
  }
  // A stream that would be cut is better begun at another entry at once.
  if (m_parts.m_draining && m_route->m_stream &&
      m_parts.m_drainEnd - m_received < detail::kStreamTime) {
    co_await Refuse(503, "draining", detail::kRetryElsewhere);
    co_return false;
  }
  m_deadline = m_received + Patience(*m_route);
  m_service =
    m_config->FindService(routing::ChooseService(*m_route, m_facts.m_attempt));
  m_parts.RepeatsOf(m_service->m_name).OnFirstAttempt(m_received);
  co_return true;
}

void
Exchange::Arm()
{
  ArmTimer();
  m_caller->WatchForLeave(
    [self = shared_from_this()] { self->OnStop(Stop::CallerLeft); });
}

void
Exchange::ArmTimer()
{
  m_timer.expires_after(Left().ToChrono());
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->OnTime();
      }
    });
}

// A configuration that came meanwhile may allow the route more time; its
// operator then expects that the request is not cut by the older one.
void
Exchange::OnTime()
{
  const routing::ConfigPointer config = m_parts.m_watch.View().m_config;
  if (m_route != nullptr && config != nullptr && config != m_config) {
    const routing::Route* route =
      config->FindRoute(m_route->m_host, m_route->m_prefix);
    const base::TimePoint deadline =
      route != nullptr ? m_received + Patience(*route) : m_deadline;
    if (deadline > m_deadline) {
      m_deadline = deadline;
      ArmTimer();
      return;
    }
  }
  OnStop(Stop::TimeOver);
}

base::Millis
Exchange::Patience(const routing::Route& aRoute) const
{
  return std::min(m_facts.m_patience.value_or(detail::kDefaultPatience),
                  aRoute.m_timeout);
}

void
Exchange::Disarm()
{
  m_timer.cancel();
  m_caller->StopWatching();
}

void
Exchange::OnStop(Stop aWhy)
{
  if (m_stop != Stop::No) {
    return;
  }
  m_stop = aWhy;
  if (m_connection) {
    m_connection->Close(); // the upstream stops its work
  }
  if (aWhy == Stop::CallerLeft || m_caller->Started()) {
    m_caller->Close();
  }
}

bool
Exchange::IsRepeatable() const
{
  return m_route->m_idempotent || (m_route->m_stream && m_route->m_resumable);
}

bool
Exchange::MayRepeat()
{
  if (m_sends >= m_route->m_maxAttempts || m_stop != Stop::No) {
    return false;
  }
  if (!m_parts.RepeatsOf(m_service->m_name)
         .Take(m_parts.RepeatExtra(), m_parts.m_clock.Now())) {
    return false;
  }
  m_parts.m_metrics.m_repeats.Increment();
  return true;
}

std::string
Exchange::Model() const
{
  if (m_facts.m_anyModel && !m_route->m_models.empty()) {
    return m_route->m_models[m_model];
  }
  return m_facts.m_model;
}

bool
Exchange::LargerModelLeft() const
{
  return m_facts.m_anyModel && m_model + 1 < m_route->m_models.size();
}

UpstreamNeed
Exchange::Need() const
{
  UpstreamNeed need;
  need.m_service = m_service;
  need.m_choice.m_ownDomain = m_parts.m_domain;
  need.m_tried = m_tried;
  const std::string& session =
    m_facts.m_session.empty() ? m_facts.m_attempt : m_facts.m_session;
  need.m_sessionHash = routing::StableHash(session);
  const std::string model = Model();
  for (size_t i = 0; i + 1 < m_facts.m_parts.size(); ++i) {
    const PromptPart& part = m_facts.m_parts[i];
    need.m_choice.m_shared.push_back(
      { model + "/" + part.m_id, part.m_tokens });
  }
  return need;
}

void
Exchange::NotePromptParts(Upstream& aUpstream) const
{
  const std::string model = Model();
  for (const PromptPart& part : m_facts.m_parts) {
    aUpstream.m_belief.NotePart(model + "/" + part.m_id, m_parts.m_clock.Now());
  }
}

// While an entry is new, upstreams that it has not heard of may be there: they
// register about once a second. Later only short closures are waited for.
bool
Exchange::MayWaitFor(NoUpstream aWhy) const
{
  const base::TimePoint now = m_parts.m_clock.Now();
  if (now - m_parts.m_watch.View().m_configuredAt < detail::kRegistrationTime) {
    return Left() > (m_deadline - m_received) / 2;
  }
  return aWhy != NoUpstream::None && (now - m_received) * 4 < m_route->m_goal;
}

// Time to the head, for the size of what is read before it.
void
Exchange::NoteHeadPace(Upstream& aUpstream)
{
  m_headAt = m_parts.m_clock.Now();
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

// Waits for a short while when all upstreams are closed for the moment.
net::Task<UpstreamPointer>
Exchange::FindUpstream()
{
  NoUpstream why = NoUpstream::None;
  while (m_stop == Stop::No) {
    UpstreamPointer upstream = m_parts.m_upstreams.Choose(Need(), why);
    if (upstream) {
      co_return upstream;
    }
    if (!MayWaitFor(why)) {
      break;
    }
    co_await net::Sleep(detail::kFindPeriod);
  }
  if (m_stop == Stop::No && !m_caller->Started()) {
    if (m_failure) {
      std::string head = std::move(m_failure->m_head);
      std::string body = std::move(m_failure->m_body);
      (void)co_await m_caller->WriteWhole(
        std::move(head), std::move(body), m_parts.m_draining);
      LogEnd(base::LogWeight::Failure, "request_failed", 0, "upstream_failure");
    } else if (m_mayHaveRun) {
      co_await Fail(502, std::string(kNoUpstreamNames.Name(why)));
    } else {
      co_await Refuse(
        503, std::string(kNoUpstreamNames.Name(why)), detail::kRetrySoon);
    }
  } else if (m_stop == Stop::No) {
    co_await Fail(502, "stream_not_resumed");
  }
  co_return nullptr;
}

net::Task<void>
Exchange::Serve()
{
  bool again = true;
  while (again && m_stop == Stop::No) {
    const UpstreamPointer upstream = co_await FindUpstream();
    if (!upstream) {
      break;
    }
    AttemptEnd end = co_await Attempt(upstream);
    if (m_stop != Stop::No && !std::holds_alternative<Delivered>(end)) {
      break;
    }
    again = co_await Settle(std::move(end));
  }
}

// What a caller hears whose request was ended from outside an attempt.
net::Task<void>
Exchange::AnswerStop()
{
  if (m_stop == Stop::TimeOver && !m_caller->Ended()) {
    co_await AnswerTimeOver();
  } else if (m_stop == Stop::CallerLeft && !m_caller->Ended()) {
    m_parts.m_metrics.m_callerLeft.Increment();
    LogEnd(base::LogWeight::Success, "caller_left", 0, "");
  }
}

net::Task<Exchange::AttemptEnd>
Exchange::Attempt(UpstreamPointer aUpstream)
{
  m_lastUpstream = aUpstream->m_instance.m_id;
  m_tried.push_back(m_lastUpstream);
  aUpstream->m_belief.OnSent();
  AttemptEnd end = co_await Converse(*aUpstream);
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
Exchange::Converse(Upstream& aUpstream)
{
  absl::Status status = co_await OpenConnection(aUpstream);
  if (m_stop != Stop::No) {
    co_return Stopped{};
  }
  if (!status.ok()) {
    aUpstream.m_belief.OnFailure(m_parts.m_clock.Now());
    co_return NotRun{ "connect: " + std::string(base::MessageOf(status)) };
  }
  std::shared_ptr<const std::string> text = RequestText(aUpstream);
  m_sentAt = m_parts.m_clock.Now();
  ++m_sends;
  NotePromptParts(aUpstream);
  m_hedgeTimer.expires_after(HeadPatience(aUpstream).ToChrono());
  m_hedgeTimer.async_wait([self = shared_from_this(), send = m_sends](
                            const boost::system::error_code& aError) {
    if (!aError && self->m_sends == send && !self->m_headRead) {
      self->GiveUpHead();
    }
  });
  m_headRead = false;
  status = co_await m_connection->Send(std::move(text));
  m_headRead = true;
  m_hedgeTimer.cancel();
  if (m_stop != Stop::No) {
    co_return Stopped{};
  }
  if (!status.ok()) {
    m_connection->Close();
    aUpstream.m_belief.OnFailure(m_parts.m_clock.Now());
    if (base::KindOf(status) == base::ErrorKind::NoUpstream) {
      co_return NotRun{ "send: " + std::string(base::MessageOf(status)) };
    }
    co_return Lost{ std::string(base::MessageOf(status)) };
  }
  co_return co_await TakeAnswer(aUpstream);
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
  std::string head = AnswerHead(m_connection->Head());
  if (!detail::IsSuccess(status)) {
    co_return co_await PassWhole(aUpstream, std::move(head));
  }
  if (!facts.m_sealed ||
      m_connection->Head().count(http::field::content_encoding) > 0) {
    m_connection->Close();
    co_return Lost{ "unsealed" };
  }
  if (facts.m_confidence && LargerModelLeft() && !m_caller->Started() &&
      *facts.m_confidence < routing::ModelChoice().m_keepConfidence &&
      MayRepeat()) {
    m_connection->Close();
    co_return Doubtful{};
  }
  m_parts.m_metrics.m_firstByteMs.Observe(
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
    std::string events = m_events.Add(*piece);
    if (events.empty()) {
      continue;
    }
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

net::Task<bool>
Exchange::Settle(AttemptEnd aEnd)
{
  if (auto* notRun = std::get_if<NotRun>(&aEnd)) {
    LogAttempt("not_run", notRun->m_why);
    co_return co_await AfterNotRun(std::move(notRun->m_why));
  }
  if (auto* lost = std::get_if<Lost>(&aEnd)) {
    LogAttempt("unknown", lost->m_why);
    m_mayHaveRun = true;
    co_return co_await AfterLoss(std::move(lost->m_why));
  }
  if (auto* cut = std::get_if<CutOff>(&aEnd)) {
    LogAttempt("cut_off", cut->m_why);
    m_mayHaveRun = true;
    m_parts.m_metrics.m_resumed.Increment();
    co_return co_await AfterLoss(std::move(cut->m_why));
  }
  if (auto* failed = std::get_if<FailedThere>(&aEnd)) {
    LogAttempt("failed_there", "upstream_failure");
    m_mayHaveRun = true;
    co_return co_await AfterFailure(std::move(*failed));
  }
  if (std::holds_alternative<Doubtful>(aEnd)) {
    m_mayHaveRun = true;
    m_parts.m_metrics.m_escalated.Increment();
    m_model = routing::LargerModel(m_model, m_route->m_models.size());
    m_tried.clear(); // any upstream runs the larger model
    co_return true;
  }
  if (std::holds_alternative<Delivered>(aEnd)) {
    m_parts.m_metrics.m_answered.Increment();
    LogEnd(base::LogWeight::Success, "request_answered", 200, "");
  } else {
    m_parts.m_metrics.m_callerLeft.Increment();
    LogEnd(base::LogWeight::Failure, "caller_lost", 0, "write failed");
    m_caller->Close();
  }
  co_return false;
}

net::Task<bool>
Exchange::AfterNotRun(std::string aWhy)
{
  // Nothing ran, so another upstream may take it without being a repeat; but
  // what reached an upstream counts as one of its arrivals.
  if (m_sends == 0 || MayRepeat()) {
    co_return true;
  }
  if (m_caller->Started() || m_mayHaveRun) {
    co_await Fail(502, std::move(aWhy));
  } else {
    co_await Refuse(503, std::move(aWhy), detail::kRetrySoon);
  }
  co_return false;
}

net::Task<bool>
Exchange::AfterLoss(std::string aWhy)
{
  const bool resumable = !m_caller->Started() || m_events.LastId();
  if (IsRepeatable() && resumable && MayRepeat()) {
    co_return true;
  }
  co_await Fail(502, std::move(aWhy));
  co_return false;
}

net::Task<bool>
Exchange::AfterFailure(FailedThere aFailure)
{
  if (IsRepeatable() && MayRepeat()) {
    m_failure = std::move(aFailure);
    co_return true;
  }
  if (m_caller->Started()) {
    co_await Fail(502, "upstream_failure");
    co_return false;
  }
  (void)co_await m_caller->WriteWhole(
    std::move(aFailure.m_head), std::move(aFailure.m_body), m_parts.m_draining);
  m_parts.m_metrics.m_failed.Increment();
  LogEnd(base::LogWeight::Failure, "request_failed", 0, "upstream_failure");
  co_return false;
}

net::Task<void>
Exchange::Refuse(int aStatus, std::string aReason, base::Millis aRetryAfter)
{
  m_parts.m_metrics.m_refused.Increment();
  std::string head =
    "HTTP/1.1 " + std::to_string(aStatus) + " " +
    std::string(http::obsolete_reason(static_cast<http::status>(aStatus))) +
    "\r\nContent-Type: application/json\r\n";
  if (aRetryAfter > base::Millis(0)) {
    std::string millis = std::to_string(aRetryAfter.Count() % 1000);
    millis.insert(0, 3 - millis.size(), '0');
    head += "Retry-After: " + std::to_string(aRetryAfter.Count() / 1000) + "." +
            millis + "\r\n";
  }
  std::string body =
    R"({"error":{"type":")" + aReason + R"(","run":"not_run"}})";
  (void)co_await m_caller->WriteWhole(
    std::move(head), std::move(body), m_parts.m_draining);
  LogEnd(base::LogWeight::Failure, "request_refused", aStatus, aReason);
}

// The effect of the request is not known, or the answer broke off.
net::Task<void>
Exchange::Fail(int aStatus, std::string aReason)
{
  m_parts.m_metrics.m_failed.Increment();
  LogEnd(base::LogWeight::Failure, "request_failed", aStatus, aReason);
  if (m_caller->Started()) {
    m_caller->Close(); // the caller sees that the answer is cut
    co_return;
  }
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) +
                     (aStatus == 504 ? " Gateway Timeout" : " Bad Gateway") +
                     "\r\nContent-Type: application/json\r\n";
  std::string body = R"({"error":{"type":"upstream_failed","run":"unknown"}})";
  (void)co_await m_caller->WriteWhole(
    std::move(head), std::move(body), m_parts.m_draining);
}

net::Task<void>
Exchange::AnswerTimeOver()
{
  if (!m_mayHaveRun && m_sends == 0) {
    co_await Refuse(503, "no_time_left", detail::kRetrySoon);
    co_return;
  }
  co_await Fail(504, "time_over");
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

// Another upstream is likely to answer sooner than this one.
void
Exchange::GiveUpHead()
{
  if (m_stop != Stop::No || !m_connection) {
    return;
  }
  m_parts.m_log.Record(
    "head_given_up",
    base::LogWeight::Failure,
    { { "request", m_facts.m_attempt },
      { "upstream", m_lastUpstream },
      { "waited_ms", (m_parts.m_clock.Now() - m_sentAt).Count() } });
  m_connection->Close();
}

std::shared_ptr<const std::string>
Exchange::RequestText(const Upstream& aUpstream)
{
  const CallerRequest& request = m_caller->Request();
  auto text = std::make_shared<std::string>();
  constexpr size_t kHeadRoom = 1024;
  text->reserve(kHeadRoom + request.body().size());
  *text += detail::ToView(request.method_string());
  *text += ' ';
  *text += detail::ToView(request.target());
  *text += " HTTP/1.1\r\n";
  for (const auto& field : request) {
    const std::string_view name = detail::ToView(field.name_string());
    if (detail::IsHopByHop(field.name()) ||
        m_parts.m_dialect.IsReserved(name)) {
      continue;
    }
    *text += name;
    *text += ": ";
    *text += detail::ToView(field.value());
    *text += "\r\n";
  }
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
  m_parts.m_dialect.WriteForward(facts, *text);
  const bool hasBody = request.body().size() > 0 ||
                       request.method() == http::verb::post ||
                       request.method() == http::verb::put;
  if (hasBody) {
    *text += "Content-Length: " + std::to_string(request.body().size());
    *text += "\r\n";
  }
  *text += "\r\n";
  *text += request.body();
  return text;
}

std::string
Exchange::AnswerHead(const UpstreamConnection::Parser::value_type& aHead) const
{
  std::string head = "HTTP/1.1 " + std::to_string(aHead.result_int()) + " ";
  head += detail::ToView(aHead.reason());
  head += "\r\n";
  for (const auto& field : aHead) {
    if (detail::IsHopByHop(field.name())) {
      continue;
    }
    head += detail::ToView(field.name_string());
    head += ": ";
    head += detail::ToView(field.value());
    head += "\r\n";
  }
  return head;
}

void
Exchange::LogEnd(base::LogWeight aWeight,
                 std::string_view aEvent,
                 int aStatus,
                 std::string_view aReason) const
{
  const site::WatchView& view = m_parts.m_watch.View();
  const base::TimePoint now = m_parts.m_clock.Now();
  const bool heard = view.m_freshAt != base::TimePoint();
  m_parts.m_log.Record(
    aEvent,
    aWeight,
    { { "request", m_facts.m_attempt },
      { "route", m_route != nullptr ? m_route->m_name : std::string() },
      { "team", m_team != nullptr ? m_team->m_name : std::string() },
      { "status", aStatus },
      { "reason", aReason },
      { "upstream", m_lastUpstream },
      { "model", m_route != nullptr ? Model() : std::string() },
      { "sends", static_cast<uint64_t>(m_sends) },
      { "may_have_run", m_mayHaveRun ? "yes" : "no" },
      { "took_ms", (now - m_received).Count() },
      { "first_ms",
        m_firstPassedAt == base::TimePoint()
          ? int64_t(0)
          : (m_firstPassedAt - m_received).Count() },
      { "longest_pause_ms", m_longestPause.Count() },
      { "number", m_config ? m_config->Number() : uint64_t(0) },
      { "control_age_ms",
        heard ? std::to_string((now - view.m_freshAt).Count()) : "never" } });
}

} // namespace chivefront::proxy
