// Requests for models: runs, cascade, bill and answer.
#include <boost/asio/this_coro.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/entry/chat_flow.h"

namespace chivefront::entry::detail {

namespace {

constexpr int kFirstErrorStatus = 400;

// An error status of the engine ends the run like an answer, but it is not an
// answer to bill or to rate, and it counts as a failure of the version.
bool
IsEngineError(const RunResult& aResult)
{
  return static_cast<int>(aResult.m_httpStatus) >= kFirstErrorStatus;
}

CallerError
AnswerTooLong()
{
  return { base::ErrorKind::AnswerIncomplete,
           "the answer exceeds the bound of this entry",
           base::Outcome::Done };
}

} // namespace

void
ChatFlow::RecordRun(const RunResult& aResult)
{
  m_upstream = aResult.m_upstream;
  m_spec.m_firstAttempt = aResult.m_nextAttempt;
  if (aResult.m_done || aResult.m_answerTokens > 0) {
    m_usedTokens += aResult.m_promptTokens + aResult.m_answerTokens;
    m_billedRuns.emplace_back(m_spec, aResult);
  }
  if (!aResult.m_dispatched) {
    return;
  }
  if (aResult.m_done && !IsEngineError(aResult)) {
    m_components.m_evidence.OnAnswered(m_spec.m_version, aResult.m_elapsed);
    m_components.m_cascadePlanner.RecordLatency(m_spec.m_version,
                                                aResult.m_elapsed);
  } else if (!aResult.m_readerGone &&
             (aResult.m_done ||
              aResult.m_error.m_outcome == base::Outcome::Unknown)) {
    m_components.m_evidence.OnFailed(m_spec.m_version,
                                     aResult.m_error.m_kind ==
                                       base::ErrorKind::UpstreamLost);
  }
}

net::Task<absl::Status>
ChatFlow::Bill()
{
  const auto view = m_components.m_entry.m_watcher.LastView();
  std::vector<wire::BillLineT> lines;
  for (const BilledRun& billedRun : m_billedRuns) {
    lines.push_back(
      MakeBillLine(*view->m_catalog, billedRun.m_spec, billedRun.m_result));
    m_costMicros += lines.back().cost_micros;
  }
  const absl::Status posted =
    co_await m_components.m_billing.Post(std::move(lines));
  if (posted.ok()) {
    for (const BilledRun& billedRun : m_billedRuns) {
      m_components.m_runner.Settle(billedRun.m_spec, billedRun.m_result);
    }
  }
  co_return posted;
}

net::HttpHeaders
ChatFlow::Headers() const
{
  return { { "X-Chivefront-Request", m_caller.m_requestId },
           { "X-Chivefront-Model", m_spec.m_model },
           { "X-Chivefront-Version", m_spec.m_version },
           { "X-Chivefront-Runs", std::to_string(m_spec.m_run + 1) } };
}

std::string
ChatFlow::Trailer() const
{
  boost::json::object metadata;
  metadata["request_id"] = m_caller.m_requestId;
  metadata["model"] = m_spec.m_model;
  metadata["version"] = m_spec.m_version;
  metadata["runs"] = m_spec.m_run + 1;
  metadata["cost_micros"] = m_costMicros;
  boost::json::object whole;
  whole["chivefront"] = std::move(metadata);
  return "data: " + boost::json::serialize(whole) + "\n\n";
}

void
ChatFlow::RecordAnswered(const absl::Status& aSent)
{
  m_components.m_entry.m_events.Record(
    aSent.ok() ? "answered" : "reader_lost",
    { { "team", m_caller.m_team },
      { "version", m_spec.m_version },
      { "upstream", m_upstream },
      { "runs", std::to_string(m_spec.m_run + 1) },
      { "cost_micros", std::to_string(m_costMicros) } },
    m_caller.m_requestId);
}

void
ChatFlow::RateInBackground(std::string aText)
{
  const auto view = m_components.m_entry.m_watcher.LastView();
  if (!m_plan.m_rateLastAnswer && !m_components.m_cascadePlanner.ShouldRate(
                                    *view->m_catalog, m_spec.m_version)) {
    return;
  }
  const auto step = m_spec.m_run == 0 ? policy::PlanStep::First
                                      : policy::PlanStep::AfterRejection;
  RatingInput input{ m_caller.m_requestId,
                     m_caller.m_headers.m_task,
                     m_spec.m_version,
                     PromptText(m_chat),
                     std::move(aText) };
  net::Spawn(m_components.m_entry.m_background,
             "entry",
             [&planner = m_components.m_cascadePlanner,
              team = m_caller.m_team,
              step,
              input = std::move(input)]() -> net::Task<void> {
               (void)co_await planner.Rate(team, step, input);
             });
}

net::Task<void>
ChatFlow::ServeStream()
{
  StreamSink sink(m_exchange, Headers());
  const RunResult result = co_await m_components.m_runner.Run(m_spec, sink);
  RecordRun(result);
  CallerError error = result.m_error;
  bool done = result.m_done;
  if (done && IsEngineError(result)) {
    error = CallerError(base::ErrorKind::UpstreamFailed,
                        "the engine answered with status " +
                          std::to_string(result.m_httpStatus));
    done = false;
  }
  const absl::Status billStatus = co_await Bill();
  if (done && !billStatus.ok()) {
    error = CallerError(billStatus);
    done = false;
  }
  if (result.m_readerGone) {
    RecordAnswered(absl::CancelledError());
    co_return;
  }
  if (done) {
    std::string trailer = Trailer();
    const absl::Status sent = co_await sink.Finish(std::move(trailer));
    RecordAnswered(sent);
    RateInBackground(StreamedAnswerText(sink.Beginning()));
    co_return;
  }
  if (!sink.Begun()) {
    co_await RefuseWith(error);
    co_return;
  }
  m_components.m_entry.m_events.Record(
    "answer_failed",
    { { "team", m_caller.m_team },
      { "kind", std::string(base::ErrorName(error.m_kind)) } },
    m_caller.m_requestId);
  std::string event = ErrorEvent(error, m_caller.m_requestId);
  (void)co_await sink.Fail(std::move(event));
}

net::Task<bool>
ChatFlow::IsAcceptable(const std::string& aAnswer, size_t aIndex)
{
  const RatingInput input{ m_caller.m_requestId,
                           m_caller.m_headers.m_task,
                           m_spec.m_version,
                           PromptText(m_chat),
                           AnswerText(aAnswer) };
  const auto step =
    aIndex == 0 ? policy::PlanStep::First : policy::PlanStep::AfterRejection;
  const auto verdict =
    co_await m_components.m_cascadePlanner.Rate(m_caller.m_team, step, input);
  co_return verdict.ok() && *verdict;
}

net::Task<std::optional<net::HttpResponse>>
ChatFlow::RunPlan()
{
  std::optional<net::HttpResponse> answer;
  RunSpec answeredBy;
  bool mayHaveRun = false;
  for (size_t i = 0; i < m_plan.m_versions.size(); ++i) {
    const bool last = i + 1 == m_plan.m_versions.size();
    const auto view = m_components.m_entry.m_watcher.LastView();
    if (const absl::Status filled = FillSpec(*view->m_catalog, i);
        !filled.ok()) {
      m_error = CallerError::BeforeDispatch(filled);
      continue;
    }
    BufferSink sink(m_components.m_entry.m_limits.m_maxAnswerBytes);
    const RunResult result = co_await m_components.m_runner.Run(m_spec, sink);
    RecordRun(result);
    if (!result.m_done || sink.Overflowed()) {
      m_error = sink.Overflowed() ? AnswerTooLong() : result.m_error;
      mayHaveRun = mayHaveRun || m_error.m_outcome != base::Outcome::NotRun;
      continue;
    }
    mayHaveRun = true;
    answeredBy = m_spec;
    answer.emplace();
    answer->m_status =
      result.m_httpStatus == 0 ? 200 : static_cast<int>(result.m_httpStatus);
    answer->m_body = sink.Take();
    if (last || IsEngineError(result)) {
      break;
    }
    const bool accepted = co_await IsAcceptable(answer->m_body, i);
    if (accepted) {
      break;
    }
    m_components.m_entry.m_events.Record(
      "escalated",
      { { "team", m_caller.m_team }, { "version", m_spec.m_version } },
      m_caller.m_requestId);
  }
  if (answer) {
    // If the next version failed, the rejected draft is returned, because a
    // draft serves the caller better than an error.
    m_spec = answeredBy;
  } else if (mayHaveRun && m_error.m_outcome == base::Outcome::NotRun) {
    m_error.m_outcome = base::Outcome::Unknown;
  }
  co_return answer;
}

net::Task<void>
ChatFlow::ServeWhole()
{
  auto answer = co_await RunPlan();
  const absl::Status billStatus = co_await Bill();
  if (!answer) {
    co_await RefuseWith(m_error);
    co_return;
  }
  if (!billStatus.ok()) {
    const CallerError error(billStatus);
    co_await RefuseWith(error);
    co_return;
  }
  answer->m_headers = Headers();
  answer->m_headers.emplace_back("X-Chivefront-Cost-Micros",
                                 std::to_string(m_costMicros));
  std::string text = AnswerText(answer->m_body);
  const absl::Status sent = co_await m_exchange.Respond(std::move(*answer));
  RecordAnswered(sent);
  const bool rated = m_spec.m_run + 1 < m_plan.m_versions.size();
  if (!rated && !text.empty()) {
    RateInBackground(std::move(text));
  }
}

} // namespace chivefront::entry::detail
