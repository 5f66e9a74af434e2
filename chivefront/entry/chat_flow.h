// One request for a model, from its parsing to its answer; internal to the
// flows. chat_flow.cc parses and admits the request and chooses its versions;
// chat_answer.cc runs it, bills it and answers the caller.
#pragma once

#include "chivefront/entry/flows.h"

namespace chivefront::entry::detail {

class ChatFlow
{
public:
  ChatFlow(FlowComponents& aComponents,
           Caller aCaller,
           net::HttpExchange& aExchange)
    : m_components(aComponents)
    , m_caller(std::move(aCaller))
    , m_exchange(aExchange)
  {
  }

  net::Task<void> Serve();

private:
  // A run whose usage is billed.
  struct BilledRun
  {
    BilledRun(RunSpec aSpec, RunResult aResult)
      : m_spec(std::move(aSpec))
      , m_result(std::move(aResult))
    {
    }
    RunSpec m_spec;
    RunResult m_result;
  };

  // Parses the request, chooses its version or versions and commits the pin of
  // its session.
  net::Task<absl::Status> Resolve();
  net::Task<absl::Status> ResolveSession(const catalog::Catalog& aCatalog);
  absl::Status ResolveWithoutSession(const catalog::Catalog& aCatalog);
  // The versions to run one after another for a request with model "auto".
  policy::CascadePlan PlanCascade(const catalog::Catalog& aCatalog,
                                  uint64_t aHash);
  // Sets m_spec for a run on version aIndex of the plan.
  absl::Status FillSpec(const catalog::Catalog& aCatalog, size_t aIndex);
  // Upper bound of the tokens of prompt and answer on the plan's first version.
  uint64_t ExpectedTokens(const catalog::Catalog& aCatalog) const;

  net::Task<void> ServeStream();
  net::Task<void> ServeBuffered();
  // Runs the plan's versions until an answer is accepted. Returns nothing when
  // there is no answer; m_error is set then.
  net::Task<std::optional<net::HttpResponse>> RunPlan();
  // Has the draft of version aIndex rated. False without a verdict, because an
  // answer of a more expensive version does less harm than a poor answer.
  net::Task<bool> IsAcceptable(const std::string& aAnswer, size_t aIndex);
  // Posts one bill for all runs; once it is durable, lets the agents discard
  // their copies of the lines.
  net::Task<absl::Status> Bill();
  // Adds a finished run to the bill, the evidence and the latency estimate.
  void RecordRun(const RunResult& aResult);
  // Rates the final answer, if it is sampled, without delaying the caller.
  void RateInBackground(std::string aText);
  // Records that the answer was sent, or that its reader was lost.
  void RecordAnswered(const absl::Status& aSent);
  net::HttpHeaders Headers() const;
  // The last event of a streamed answer, with version, runs and cost.
  std::string Trailer() const;
  net::Task<void> RefuseWith(const CallerError& aError);

  FlowComponents& m_components;
  const Caller m_caller;
  net::HttpExchange& m_exchange;
  ChatRequest m_chat;
  policy::CascadePlan m_plan; // at least one version after Resolve
  RunSpec m_spec;             // of the current run
  std::vector<BilledRun> m_billedRuns;
  CallerError m_error;    // of the last failed run
  std::string m_upstream; // of the last run
  uint64_t m_costMicros = 0;
  uint64_t m_usedTokens = 0; // of all runs
};

} // namespace chivefront::entry::detail
