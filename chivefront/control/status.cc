// The status of the cluster as one control process sees it.
#include <map>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/client/lease.h"
#include "chivefront/control/server.h"

namespace chivefront::control {
namespace detail {

using boost::json::array;
using boost::json::object;

constexpr base::NameTable<consensus::RaftRole, 4> kRoleNames{ {
  { { consensus::RaftRole::Follower, "follower" },
    { consensus::RaftRole::Candidate, "candidate" },
    { consensus::RaftRole::Leader, "leader" },
    { consensus::RaftRole::Learner, "learner" } },
} };
// Upstreams listed one by one; larger clusters show totals only.
constexpr size_t kMaxListed = 1000;
constexpr size_t kMaxBehind = 20;

std::string
Text(std::string_view aText)
{
  return std::string(aText);
}

void
Hint(array& aHints, std::string aItem, std::string aHint)
{
  aHints.push_back(object{ { "item", aItem }, { "hint", aHint } });
}

object
GroupObject(const char* aName,
            const consensus::GroupStatus& aStatus,
            array& aHints)
{
  array members;
  size_t voters = 0;
  for (const consensus::Replica& replica : aStatus.m_replicas) {
    voters += replica.m_voter ? 1 : 0;
    members.push_back(
      object{ { "name", replica.m_name }, { "voter", replica.m_voter } });
  }
  const std::string item = std::string("group ") + aName;
  if (aStatus.m_leader.empty()) {
    Hint(aHints,
         item,
         "no leader known: check that a majority of the control processes "
         "runs and can reach each other");
  } else if (aStatus.m_role == consensus::RaftRole::Leader &&
             aStatus.m_caughtUp < aStatus.m_replicas.size()) {
    Hint(aHints,
         item,
         "not every replica holds everything: check the control processes "
         "that are down or catching up before taking another one away");
  }
  if (voters < aStatus.m_replicas.size()) {
    Hint(aHints, item, "a replaced replica may not vote until it caught up");
  }
  return object{ { "group", aName },
                 { "role", Text(kRoleNames.Name(aStatus.m_role)) },
                 { "leader", aStatus.m_leader },
                 { "term", aStatus.m_term },
                 { "committed", aStatus.m_committed },
                 { "applied", aStatus.m_applied },
                 { "caught_up", aStatus.m_caughtUp },
                 { "members", std::move(members) } };
}

// Upstreams by what they serve and their failure domain.
array
UpstreamTotals(const std::vector<wire::UpstreamInfoT>& aAll)
{
  struct Total
  {
    uint64_t m_count = 0;
    uint64_t m_leaving = 0;
    uint64_t m_limit = 0;
    uint64_t m_running = 0;
    uint64_t m_queued = 0;
  };
  std::map<std::pair<std::string, std::string>, Total> totals;
  for (const wire::UpstreamInfoT& upstream : aAll) {
    const bool plain = upstream.kind == wire::UpstreamKind::Plain;
    Total& total = totals[{ plain ? "service/" + upstream.service
                                  : "version/" + upstream.version,
                            upstream.failure_domain }];
    total.m_count += 1;
    total.m_leaving += upstream.leaving ? 1 : 0;
    total.m_limit += upstream.limit;
    total.m_running += upstream.running;
    total.m_queued += upstream.queued;
  }
  array rows;
  for (const auto& [key, total] : totals) {
    rows.push_back(object{ { "serves", key.first },
                           { "domain", key.second },
                           { "upstreams", total.m_count },
                           { "leaving", total.m_leaving },
                           { "limit", total.m_limit },
                           { "running", total.m_running },
                           { "queued", total.m_queued } });
  }
  return rows;
}

array
UpstreamList(const std::vector<wire::UpstreamInfoT>& aAll)
{
  array rows;
  for (const wire::UpstreamInfoT& upstream : aAll) {
    if (rows.size() == kMaxListed) {
      break;
    }
    rows.push_back(object{ { "name", upstream.name },
                           { "agent", upstream.agent },
                           { "domain", upstream.failure_domain },
                           { "version", upstream.version },
                           { "service", upstream.service },
                           { "limit", upstream.limit },
                           { "running", upstream.running },
                           { "queued", upstream.queued },
                           { "leaving", upstream.leaving } });
  }
  return rows;
}

void
AddConfigured(object& aStatus, const catalog::Catalog& aCatalog, array& aHints)
{
  const auto list = [](const auto& aSet) {
    array items;
    for (const auto& item : aSet) {
      items.emplace_back(item);
    }
    return items;
  };
  aStatus["out_of_service"] =
    object{ { "domains", list(aCatalog.m_domainsOut) },
            { "versions", list(aCatalog.m_versionsOut) },
            { "upstreams", list(aCatalog.m_upstreamsOut) } };
  array rollouts;
  for (const auto& [model, rollout] : aCatalog.m_rollouts) {
    rollouts.push_back(object{
      { "model", model },
      { "from", rollout.m_from },
      { "to", rollout.m_to },
      { "state", Text(catalog::kRolloutStateNames.Name(rollout.m_state)) },
      { "stage", rollout.m_stage },
      { "permille", rollout.m_stages[rollout.m_stage] },
      { "reason", rollout.m_reason } });
    if (rollout.m_state == catalog::RolloutState::Stopped) {
      Hint(aHints,
           "rollout " + model,
           "stopped: " + rollout.m_reason +
             "; repair the version, then put a new roll-out");
    }
  }
  aStatus["rollouts"] = std::move(rollouts);
  for (const std::string& domain : aCatalog.m_domainsOut) {
    Hint(aHints,
         "domain " + domain,
         "out of service; bring it back with: chivefrontctl in domain " +
           domain);
  }
}

} // namespace detail

std::string
Server::StatusJson()
{
  using detail::array;
  using detail::object;
  const base::TimePoint now = m_parts.m_clock.Now();
  const catalog::Pointer catalog = m_parts.m_store.Catalog();
  const catalog::Entries entries = m_parts.m_store.Entries();
  const uint64_t revision = m_parts.m_store.Revision();
  const bool fresh = Fresh();
  array hints;
  object status;
  status["process"] = m_options.m_name;
  status["revision"] = revision;
  status["fresh"] = fresh;
  status["change_outcomes_kept"] = m_parts.m_store.OutcomeCount();
  if (!fresh) {
    detail::Hint(hints,
                 "process " + m_options.m_name,
                 "has no recent confirmation by the leader; what it shows may "
                 "be old and its watchers start no new work");
  }
  status["groups"] = array{
    detail::GroupObject("config", m_parts.m_config.Status(), hints),
    detail::GroupObject("ledger", m_parts.m_ledgerReplica.Status(), hints)
  };
  if (catalog) {
    detail::AddConfigured(status, *catalog, hints);
  }
  array quarantines;
  for (const auto& [key, text] : entries) {
    if (catalog::IsSystemKey(key)) {
      quarantines.emplace_back(key.substr(key.find('/') + 1));
    }
  }
  status["quarantines"] = std::move(quarantines);
  const ledger::Ledger::Sizes sizes = m_parts.m_ledger.CountEntries();
  status["ledger"] = object{ { "pins", sizes.m_pins },
                             { "claims", sizes.m_claims },
                             { "bill_lines", sizes.m_bills },
                             { "suspects", sizes.m_suspects },
                             { "response_bytes", sizes.m_responseBytes } };
  {
    const std::lock_guard lock(m_lock);
    status["in_force"] = m_inForce;
    status["live_entries"] = LiveEntries(now);
    status["watchers"] = m_holders.Live(now);
    array behind;
    for (const std::string& name : m_holders.Behind(m_inForce, now)) {
      if (behind.size() < detail::kMaxBehind) {
        behind.emplace_back(name);
      }
    }
    if (!behind.empty()) {
      detail::Hint(hints,
                   "watchers",
                   "some hold an old revision and start no new work; check "
                   "their links to the control processes");
    }
    status["watchers_behind"] = std::move(behind);
    const std::vector<wire::UpstreamInfoT> all = m_registry.All();
    status["upstreams"] = detail::UpstreamTotals(all);
    status["upstream_list"] = detail::UpstreamList(all);
  }
  status["hints"] = std::move(hints);
  return boost::json::serialize(status);
}

} // namespace chivefront::control
