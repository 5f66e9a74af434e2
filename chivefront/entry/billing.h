// Bills of requests, with one line for each run. A bill is durable before the
// caller gets the end of its answer.
#pragma once

#include <vector>

#include "chivefront/entry/runner.h"

namespace chivefront::entry {

// The cost of a run in millionths of a currency unit. Rounded down as the agent
// does, because either the agent or the entry may post the line.
uint64_t
CostMicros(const catalog::Version& aVersion,
           uint32_t aPromptTokens,
           uint32_t aAnswerTokens);

// The bill line of one run. The cost is 0 for a plain service and for a version
// that is no longer in the catalogue.
wire::BillLineT
MakeBillLine(const catalog::Catalog& aCatalog,
             const RunSpec& aSpec,
             const RunResult& aResult);

class Billing
{
public:
  explicit Billing(EntryComponents& aComponents);

  // Returns OK once a majority of the ledger's replicas holds aLines, or
  // BillingUnavailable when that was not confirmed in time. All lines belong to
  // one request; no lines are OK.
  net::Task<absl::Status> Post(std::vector<wire::BillLineT> aLines);

private:
  EntryComponents& m_components;
  base::Counter& m_lines;
  base::Counter& m_failures;
  base::Summary& m_wait;
};

} // namespace chivefront::entry
