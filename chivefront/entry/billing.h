// Bills: one line per run, durable before the end of the answer is released.
#pragma once

#include <vector>

#include "chivefront/entry/runner.h"

namespace chivefront::entry {

// Millionths of a currency unit, rounded down like the agent's, since either
// of them may post the line.
uint64_t
CostMicros(const catalog::Version& aVersion,
           uint32_t aPromptTokens,
           uint32_t aAnswerTokens);

// The line of one run. A version that left the catalogue meanwhile, or a
// plain service, costs nothing.
wire::BillLineT
MakeBillLine(const catalog::Catalog& aCatalog,
             const RunSpec& aSpec,
             const RunResult& aResult);

class Billing
{
public:
  explicit Billing(EntryComponents& aComponents);

  // Returns once a majority holds aLines, or BillingUnavailable when that was
  // not confirmed in time. All lines are of one request.
  net::Task<absl::Status> Post(std::vector<wire::BillLineT> aLines);

private:
  EntryComponents& m_components;
  base::Counter& m_lines;
  base::Counter& m_failures;
  base::Summary& m_wait;
};

} // namespace chivefront::entry
