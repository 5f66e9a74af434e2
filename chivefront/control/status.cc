// The status of the cluster and the hints for operators, from the state of one
// control process.
#include <map>

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

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
// The status lists at most this many upstreams; the totals cover all of them.
constexpr size_t kMaxListedUpstreams = 1000;
constexpr size_t kMaxListedBehind = 20;

std::string
ToString(std::string_view aText)
{
  return std::string(aText);
}

void
AddGroupHints(const char* aName,
              const consensus::GroupStatus& aStatus,
              OperatorHints& aHints)
{
  const std::string item = std::string("group ") + aName;
  if (aStatus.m_leader.empty()) {
    aHints[item] =
      "no leader known: check that a majority of the control processes runs "
      "and can reach each other";
  } else if (aStatus.m_role == consensus::RaftRole::Leader &&
             !aStatus.m_repaired) {
    aHints[item] =
      "not every replica votes and holds everything: do not take another "
      "control process away before this has gone";
  }
}

void
AddCatalogHints(const catalog::Catalog& aCatalog, OperatorHints& aHints)
{
  for (const auto& [model, rollout] : aCatalog.m_rollouts) {
    if (rollout.m_state == catalog::RolloutState::Stopped) {
      aHints["rollout " + model] =
        "stopped (" + rollout.m_reason +
        "): repair the version, then put a new roll-out";
    } else if (rollout.m_state == catalog::RolloutState::Paused) {
      aHints["rollout " + model] =
        "paused (" + rollout.m_reason + "): new sessions get " + rollout.m_from;
    }
  }
  const auto addOut = [&aHints](const char* aKind, const auto& aIds) {
    for (const std::string& id : aIds) {
      const std::string item = std::string(aKind) + " " + id;
      aHints[item] =
        "out of service; bring it back with: chivefrontctl in " + item;
    }
  };
  addOut("domain", aCatalog.m_domainsOut);
  addOut("version", aCatalog.m_versionsOut);
  addOut("upstream", aCatalog.m_upstreamsOut);
  if (!aCatalog.m_quarantined.empty()) {
    aHints["quarantines"] =
      "requests that crash their upstreams are refused; once repaired, lift "
      "one with: chivefrontctl in request <fingerprint>";
  }
}

object
GroupObject(const char* aName, const consensus::GroupStatus& aStatus)
{
  array members;
  for (const consensus::Replica& replica : aStatus.m_replicas) {
    members.push_back(
      object{ { "name", replica.m_name }, { "voter", replica.m_voter } });
  }
  return object{ { "group", aName },
                 { "role", ToString(kRoleNames.Name(aStatus.m_role)) },
                 { "leader", aStatus.m_leader },
                 { "term", aStatus.m_term },
                 { "committed", aStatus.m_commitIndex },
                 { "applied", aStatus.m_appliedIndex },
                 { "caught_up", aStatus.m_caughtUpVoters },
                 { "repaired", aStatus.m_repaired },
                 { "members", std::move(members) } };
}

// Totals of the upstreams by what they serve and by failure domain.
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
    if (rows.size() == kMaxListedUpstreams) {
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
AddOutOfService(object& aStatus, const catalog::Catalog& aCatalog)
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
  array quarantines;
  for (const uint64_t fingerprint : aCatalog.m_quarantined) {
    quarantines.emplace_back(
      absl::StrCat(absl::Hex(fingerprint, absl::kZeroPad16)));
  }
  aStatus["quarantines"] = std::move(quarantines);
}

object
RolloutObject(const catalog::Rollout& aRollout,
              const wire::VersionEvidenceT& aEvidence)
{
  return object{
    { "model", aRollout.m_id },
    { "from", aRollout.m_from },
    { "to", aRollout.m_to },
    { "state", ToString(catalog::kRolloutStateNames.Name(aRollout.m_state)) },
    { "stage", aRollout.m_stage },
    { "permille", aRollout.m_stages[aRollout.m_stage] },
    { "reason", aRollout.m_reason },
    { "exposed", aEvidence.exposed },
    { "good", aEvidence.good },
    { "bad", aEvidence.bad }
  };
}

} // namespace detail

OperatorHints
Server::CollectHints(const catalog::Catalog* aCatalog)
{
  OperatorHints hints;
  if (!IsFresh()) {
    hints["process " + m_options.m_name] =
      "has no recent confirmation by the leader; what it shows may be old and "
      "its watchers start no new work";
  }
  detail::AddGroupHints("config", m_parts.m_configReplica.Status(), hints);
  detail::AddGroupHints("ledger", m_parts.m_ledgerReplica.Status(), hints);
  if (aCatalog != nullptr) {
    detail::AddCatalogHints(*aCatalog, hints);
  }
  const base::TimePoint now = m_parts.m_clock.Now();
  const std::lock_guard lock(m_lock);
  for (const auto& [version, measure] : m_unreplaced) {
    hints["version " + version] =
      "turned bad (" + measure +
      ") and no other version of its model is in service: put one into "
      "service, or take this one out of service";
  }
  if (!m_watchers.BehindRevision(m_revisionInForce, now).empty()) {
    hints["watchers"] =
      "some hold an old revision and start no new work; check their links to "
      "the control processes";
  }
  for (auto row = m_hintSince.begin(); row != m_hintSince.end();) {
    row =
      hints.count(row->first) == 0 ? m_hintSince.erase(row) : std::next(row);
  }
  for (const auto& [item, hint] : hints) {
    m_hintSince.emplace(item, now);
  }
  return hints;
}

std::string
Server::StatusJson()
{
  using detail::array;
  using detail::object;
  const catalog::Pointer catalog = m_parts.m_store.Catalog();
  const OperatorHints hints = CollectHints(catalog.get());
  const base::TimePoint now = m_parts.m_clock.Now();
  object status;
  status["process"] = m_options.m_name;
  status["revision"] = m_parts.m_store.Revision();
  status["fresh"] = IsFresh();
  status["change_outcomes_kept"] = m_parts.m_store.OutcomeCount();
  status["groups"] =
    array{ detail::GroupObject("config", m_parts.m_configReplica.Status()),
           detail::GroupObject("ledger", m_parts.m_ledgerReplica.Status()) };
  if (catalog) {
    detail::AddOutOfService(status, *catalog);
  }
  const ledger::Ledger::EntryCounts counts = m_parts.m_ledger.CountEntries();
  status["ledger"] = object{ { "pins", counts.m_pins },
                             { "claims", counts.m_claims },
                             { "bill_lines", counts.m_bills },
                             { "suspects", counts.m_suspects },
                             { "response_bytes", counts.m_responseBytes } };
  const std::lock_guard lock(m_lock);
  status["in_force"] = m_revisionInForce;
  status["live_entries"] = LiveEntries(now);
  status["watchers"] = m_watchers.LiveCount(now);
  array behind;
  for (const std::string& name :
       m_watchers.BehindRevision(m_revisionInForce, now)) {
    if (behind.size() < detail::kMaxListedBehind) {
      behind.emplace_back(name);
    }
  }
  status["watchers_behind"] = std::move(behind);
  array rollouts;
  if (catalog) {
    for (const auto& [model, rollout] : catalog->m_rollouts) {
      rollouts.push_back(detail::RolloutObject(
        rollout, m_watchers.PooledEvidence(rollout.m_to, rollout.m_started)));
    }
  }
  status["rollouts"] = std::move(rollouts);
  const std::vector<wire::UpstreamInfoT> all = m_registry.All();
  status["upstreams"] = detail::UpstreamTotals(all);
  status["upstream_list"] = detail::UpstreamList(all);
  array hintRows;
  for (const auto& [item, hint] : hints) {
    const auto since = m_hintSince.find(item);
    const base::Millis age =
      since == m_hintSince.end() ? base::Millis(0) : now - since->second;
    hintRows.push_back(object{
      { "item", item }, { "since_ms", age.Count() }, { "hint", hint } });
  }
  status["hints"] = std::move(hintRows);
  return boost::json::serialize(status);
}

} // namespace chivefront::control
