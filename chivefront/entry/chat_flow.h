// One request for a model, from its parsing to its answer; internal to the
// flows. chat_flow.cc resolves what is to be run, chat_answer.cc runs it.
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

  net::Task<absl::Status> Resolve();
  net::Task<absl::Status> ResolveSession(const catalog::Catalog& aCatalog);
  absl::Status ResolveWithoutSession(const catalog::Catalog& aCatalog);
  // The versions to run in turn for a request without a fixed model.
  policy::CascadePlan PlanCascade(const catalog::Catalog& aCatalog,
                                  uint64_t aHash);
  // Prepares m_spec for the plan's version aIndex.
  absl::Status FillSpec(const catalog::Catalog& aCatalog, size_t aIndex);
  uint64_t ExpectedTokens(const catalog::Catalog& aCatalog) const;

  net::Task<void> ServeStream();
  net::Task<void> ServeWhole();
  // Runs the plan's versions until an answer is accepted. Empty when there is
  // none; then m_error says why.
  net::Task<std::optional<net::HttpResponse>> RunPlan();
  net::Task<bool> IsAcceptable(const std::string& aAnswer, size_t aIndex);
  net::Task<absl::Status> Bill();
  void RecordRun(const RunResult& aResult);
  void RateInBackground(std::string aText);
  void RecordAnswered(const absl::Status& aSent);
  net::HttpHeaders Headers() const;
  std::string Trailer() const;
  net::Task<void> RefuseWith(const CallerError& aError);

  FlowComponents& m_components;
  const Caller m_caller;
  net::HttpExchange& m_exchange;
  ChatRequest m_chat;
  policy::CascadePlan m_plan; // at least one version once resolved
  RunSpec m_spec;             // of the current run
  std::vector<BilledRun> m_billedRuns;
  CallerError m_error;
  std::string m_upstream; // of the last run
  uint64_t m_costMicros = 0;
  uint64_t m_usedTokens = 0; // of all runs
};

} // namespace chivefront::entry::detail
