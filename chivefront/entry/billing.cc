// Cost of runs and posting of bills to the ledger.
#include "chivefront/entry/billing.h"

#include "chivefront/base/errors.h"

namespace chivefront::entry {
namespace detail {

constexpr uint64_t kTokensPerPriceUnit = 1000;

} // namespace detail

uint64_t
CostMicros(const catalog::Version& aVersion,
           uint32_t aPromptTokens,
           uint32_t aAnswerTokens)
{
  const uint64_t product = aVersion.m_promptCost * aPromptTokens +
                           aVersion.m_answerCost * aAnswerTokens;
  return product / detail::kTokensPerPriceUnit;
}

wire::BillLineT
MakeBillLine(const catalog::Catalog& aCatalog,
             const RunSpec& aSpec,
             const RunResult& aResult)
{
  wire::BillLineT line;
  line.request_id = aSpec.m_requestId;
  line.run = aSpec.m_run;
  line.team = aSpec.m_team;
  line.version = aSpec.m_version;
  line.prompt_tokens = aResult.m_promptTokens;
  line.answer_tokens = aResult.m_answerTokens;
  if (const catalog::Version* version = aCatalog.FindVersion(aSpec.m_version)) {
    line.cost_micros =
      CostMicros(*version, line.prompt_tokens, line.answer_tokens);
  }
  return line;
}

Billing::Billing(EntryComponents& aComponents)
  : m_components(aComponents)
  , m_lines(
      aComponents.m_metrics.AddCounter("chivefront_entry_bill_lines_total",
                                       "Bill lines confirmed as durable."))
  , m_failures(aComponents.m_metrics.AddCounter(
      "chivefront_entry_bill_failures_total",
      "Bills that were not confirmed in time."))
  , m_wait(aComponents.m_metrics.AddSummary(
      "chivefront_entry_bill_ms",
      "Time from the end of an answer to its durable bill."))
{
}

net::Task<absl::Status>
Billing::Post(std::vector<wire::BillLineT> aLines)
{
  if (aLines.empty()) {
    co_return absl::OkStatus();
  }
  const std::string requestId = aLines.front().request_id;
  const std::string team = aLines.front().team;
  const size_t count = aLines.size();
  uint64_t cost = 0;
  wire::PostBillT bill;
  for (wire::BillLineT& line : aLines) {
    cost += line.cost_micros;
    bill.lines.push_back(std::make_unique<wire::BillLineT>(std::move(line)));
  }
  const base::TimePoint began = m_components.m_clock.Now();
  // The answer exists, so posting its bill may take the whole time limit of a
  // ledger command, even past the caller's deadline.
  const auto reply = co_await m_components.m_ledger.Run(
    requestId, std::move(bill), began + m_components.m_limits.m_ledgerTimeout);
  const base::Millis waited = m_components.m_clock.Now() - began;
  m_wait.Observe(static_cast<double>(waited.Count()));
  if (!reply.ok() || !reply->refused.empty()) {
    m_failures.Increment();
    m_components.m_events.Record(
      "bill_unconfirmed", { { "team", team } }, requestId);
    co_return base::MakeError(base::ErrorKind::BillingUnavailable,
                              "the bill was not confirmed in time");
  }
  m_lines.Increment(count);
  m_components.m_events.Record(
    "billed",
    { { "team", team },
      { "lines", std::to_string(count) },
      { "cost_micros", std::to_string(cost) },
      { "waited_ms", std::to_string(waited.Count()) } },
    requestId);
  co_return absl::OkStatus();
}

} // namespace chivefront::entry
