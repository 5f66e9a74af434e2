// Test of the evidence that an entry reports for the roll-out judge.
#define BOOST_TEST_MODULE evidence
#include <boost/test/unit_test.hpp>

#include <optional>

#include "chivefront/entry/evidence.h"

using namespace chivefront;

namespace {

catalog::Catalog
WithRollout(const std::string& aTo, uint64_t aStarted)
{
  catalog::Catalog catalog;
  catalog::Rollout& rollout = catalog.m_rollouts["m"];
  rollout.m_id = "m";
  rollout.m_from = "v1";
  rollout.m_to = aTo;
  rollout.m_started = aStarted;
  return catalog;
}

// The requests in the row of aVersion since aSince; nothing without that row.
std::optional<uint64_t>
Exposed(const entry::Evidence& aEvidence,
        const std::string& aVersion,
        uint64_t aSince)
{
  for (const auto& row : aEvidence.Totals()) {
    if (row.version == aVersion && row.since == aSince) {
      return row.exposed;
    }
  }
  return std::nullopt;
}

} // namespace

// Guards against roll-out counts that include requests from before the
// roll-out, that miss requests from before its start was committed, or that
// include requests of an earlier roll-out of the same versions.
BOOST_AUTO_TEST_CASE(RolloutsCountFromTheirStart)
{
  entry::Evidence evidence;
  evidence.OnDispatched("v1");
  evidence.SetRollouts(WithRollout("v2", 0));
  evidence.OnDispatched("v1");
  evidence.OnDispatched("v2");
  BOOST_TEST(evidence.Totals().size() == 2U); // the start is not committed yet
  evidence.SetRollouts(WithRollout("v2", 7));
  evidence.OnDispatched("v2");
  evidence.OnRated("v2", false);
  BOOST_TEST((Exposed(evidence, "v1", 0) == 2U));
  BOOST_TEST((Exposed(evidence, "v1", 7) == 1U));
  BOOST_TEST((Exposed(evidence, "v2", 7) == 2U));
  evidence.SetRollouts(WithRollout("v2", 9)); // started again
  BOOST_TEST((Exposed(evidence, "v2", 9) == 0U));
  BOOST_TEST((Exposed(evidence, "v2", 7) == std::nullopt));
  evidence.SetRollouts({});
  BOOST_TEST(evidence.Totals().size() == 2U);
  BOOST_TEST((Exposed(evidence, "v2", 0) == 2U));
}
