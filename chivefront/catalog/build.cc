// Builds a catalogue from its entries and validates it as a whole.
#include "chivefront/catalog/catalog.h"

#include <charconv>
#include <functional>
#include <limits>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "chivefront/catalog/reader.h"

namespace chivefront::catalog {
namespace detail {

using Need = Reader::Need;
using Object = boost::json::object;
using Errors = std::vector<EntryError>;

constexpr int64_t kMaxCount = 1000000;
constexpr int64_t kMaxTokens = 1000000000000;
constexpr int64_t kMaxDurationMs = 7LL * 24 * 3600 * 1000;
constexpr int64_t kMaxRevision = std::numeric_limits<int64_t>::max();
constexpr int64_t kPermille = 1000;
constexpr size_t kHashDigits = 64;
constexpr size_t kMaxIdBytes = 128;

void
ReadCommonFields(Reader& aReader, CommonFields& aFields)
{
  aReader.Text("owner", aFields.m_owner, Need::Required);
  std::string name;
  aReader.Text("class", name, Need::Required);
  if (name.empty()) {
    return;
  }
  if (const auto value = kCallerClassNames.Find(name)) {
    aFields.m_class = *value;
  } else {
    aReader.Error("class", "must be paying or free");
  }
}

// Calls aRead with a reader of the required member "limits".
void
ReadLimits(Reader& aReader,
           Errors& aErrors,
           const std::function<void(Reader&)>& aRead)
{
  const Object* object = aReader.Object("limits", Need::Required);
  if (object == nullptr) {
    return;
  }
  Reader limits(*object, aReader.PathOf("limits"), aErrors);
  aRead(limits);
  limits.RejectUnreadMembers();
}

TaskTarget
ReadTaskTarget(Reader& aReader, const TaskTarget& aDefault)
{
  TaskTarget target = aDefault;
  aReader.Number("quality_target", target.m_quality, 0, 1, Need::Optional);
  aReader.Duration("latency_budget_ms",
                   target.m_latencyBudget,
                   1,
                   kMaxDurationMs,
                   Need::Optional);
  return target;
}

void
ReadTeam(Reader& aReader, Team& aTeam, Errors& aErrors)
{
  aReader.StringSet("key_hashes", aTeam.m_keyHashes, Need::Required);
  for (const std::string& hash : aTeam.m_keyHashes) {
    // Caller keys are looked up by the digest in lower case.
    if (hash.size() != kHashDigits ||
        hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
      aReader.Error("key_hashes",
                    "must hold SHA-256 digests of 64 lower-case hexadecimal "
                    "digits");
    }
  }
  aReader.StringSet("models", aTeam.m_models, Need::Optional);
  aReader.StringSet("services", aTeam.m_services, Need::Optional);
  aTeam.m_defaultTarget = ReadTaskTarget(aReader, {});
  if (const Object* tasks = aReader.Object("tasks", Need::Optional)) {
    for (const auto& member : *tasks) {
      const std::string name(member.key().data(), member.key().size());
      const Object* object = member.value().if_object();
      if (object == nullptr) {
        aReader.Error("tasks." + name, "must be an object");
        continue;
      }
      Reader task(*object, aReader.PathOf("tasks." + name), aErrors);
      aTeam.m_tasks[name] = ReadTaskTarget(task, aTeam.m_defaultTarget);
      task.RejectUnreadMembers();
    }
  }
  ReadLimits(aReader, aErrors, [&](Reader& aLimits) {
    aLimits.Number("requests_per_second",
                   aTeam.m_requestsPerSecond,
                   0,
                   kMaxCount,
                   Need::Required);
    aLimits.Integer(
      "concurrency", aTeam.m_concurrency, 1, kMaxCount, Need::Required);
    aLimits.Integer("tokens_per_minute",
                    aTeam.m_tokensPerMinute,
                    1,
                    kMaxTokens,
                    Need::Required);
  });
}

void
ReadModel(Reader& aReader, Model& aModel, Errors& aErrors)
{
  aReader.Text("version", aModel.m_version, Need::Required);
  aReader.Integer("rank", aModel.m_rank, 0, kMaxCount, Need::Optional);
  ReadLimits(aReader, aErrors, [&](Reader& aLimits) {
    aLimits.Integer(
      "concurrency", aModel.m_concurrency, 1, kMaxCount, Need::Required);
  });
}

void
ReadVersion(Reader& aReader, Version& aVersion, Errors& aErrors)
{
  aReader.Text("model", aVersion.m_model, Need::Required);
  aReader.Integer(
    "prompt_cost", aVersion.m_promptCost, 0, kMaxTokens, Need::Required);
  aReader.Integer(
    "answer_cost", aVersion.m_answerCost, 0, kMaxTokens, Need::Required);
  aReader.Boolean("checks_fencing", aVersion.m_checksFencing, Need::Optional);
  ReadLimits(aReader, aErrors, [&](Reader& aLimits) {
    aLimits.Integer("answer_tokens",
                    aVersion.m_maxAnswerTokens,
                    1,
                    kMaxCount,
                    Need::Required);
  });
}

void
ReadService(Reader& aReader, Service& aService, Errors& aErrors)
{
  aReader.StringSet(
    "idempotent_methods", aService.m_idempotentMethods, Need::Required);
  ReadLimits(aReader, aErrors, [&](Reader& aLimits) {
    aLimits.Integer(
      "concurrency", aService.m_concurrency, 1, kMaxCount, Need::Required);
    aLimits.Duration(
      "deadline_ms", aService.m_deadline, 1, kMaxDurationMs, Need::Optional);
    aLimits.Duration("claim_retention_ms",
                     aService.m_claimRetention,
                     1000,
                     kMaxDurationMs,
                     Need::Optional);
  });
}

void
ReadUpstreamRule(Reader& aReader, UpstreamRule& aRule, Errors& aErrors)
{
  aReader.Text("version", aRule.m_version, Need::Optional);
  aReader.Text("service", aRule.m_service, Need::Optional);
  if (aRule.m_version.empty() == aRule.m_service.empty()) {
    aReader.Error("version", "or service must be given, and not both");
  }
  ReadLimits(aReader, aErrors, [&](Reader& aLimits) {
    aLimits.Integer("cold", aRule.m_coldLimit, 1, kMaxCount, Need::Required);
    aLimits.Integer("full", aRule.m_fullLimit, 1, kMaxCount, Need::Required);
    aLimits.Integer(
      "ramp_successes", aRule.m_rampSuccesses, 1, kMaxCount, Need::Optional);
    aLimits.Integer("queue", aRule.m_queue, 0, kMaxCount, Need::Optional);
    if (aRule.m_coldLimit > aRule.m_fullLimit) {
      aLimits.Error("cold", "must not exceed full");
    }
  });
}

void
ReadRollout(Reader& aReader, Rollout& aRollout, Errors& aErrors)
{
  aReader.Text("from", aRollout.m_from, Need::Required);
  aReader.Text("to", aRollout.m_to, Need::Required);
  aReader.IntegerList("stages", aRollout.m_stages, 1, kPermille);
  for (size_t i = 1; i < aRollout.m_stages.size(); ++i) {
    if (aRollout.m_stages[i] <= aRollout.m_stages[i - 1]) {
      aReader.Error("stages", "must rise");
      break;
    }
  }
  const int64_t last = static_cast<int64_t>(aRollout.m_stages.size()) - 1;
  aReader.Integer(
    "stage", aRollout.m_stage, 0, std::max<int64_t>(last, 0), Need::Optional);
  std::string state = "running";
  aReader.Text("state", state, Need::Optional);
  if (const auto value = kRolloutStateNames.Find(state)) {
    aRollout.m_state = *value;
  } else {
    aReader.Error("state", "must be running, paused, stopped or done");
  }
  aReader.Text("reason", aRollout.m_reason, Need::Optional);
  aReader.Integer(
    "started", aRollout.m_started, 0, kMaxRevision, Need::Optional);
  ReadLimits(aReader, aErrors, [&](Reader& aLimits) {
    aLimits.Integer(
      "max_exposed", aRollout.m_maxExposed, 1, kMaxCount, Need::Optional);
  });
}

// Reads the entry "<kind>/<id>" with aRead and adds it to aTarget.
template<typename T>
void
AddEntry(const std::string& aKey,
         std::string_view aId,
         const Object& aObject,
         std::map<std::string, T, std::less<>>& aTarget,
         Errors& aErrors,
         void (*aRead)(Reader&, T&, Errors&))
{
  T entry;
  entry.m_id = std::string(aId);
  Reader reader(aObject, aKey, aErrors);
  ReadCommonFields(reader, entry);
  aRead(reader, entry, aErrors);
  reader.RejectUnreadMembers();
  aTarget.emplace(entry.m_id, std::move(entry));
}

void
AddQuarantine(const std::string& aKey,
              std::string_view aId,
              Catalog& aCatalog,
              Errors& aErrors)
{
  uint64_t fingerprint = 0;
  const char* end = aId.data() + aId.size();
  const auto [stop, error] = std::from_chars(aId.data(), end, fingerprint, 16);
  if (error != std::errc() || stop != end) {
    aErrors.push_back({ aKey, "must end with a hexadecimal fingerprint" });
    return;
  }
  aCatalog.m_quarantined.insert(fingerprint);
}

// Adds an entry to the part of the catalogue that its key names. Keys have the
// form kind/id.
void
AddEntryByKind(const std::string& aKey,
               const Object& aObject,
               Catalog& aCatalog,
               Errors& aErrors)
{
  const size_t slash = aKey.rfind('/');
  const std::string_view key = aKey;
  const std::string_view kind =
    slash == std::string::npos ? key : key.substr(0, slash);
  const std::string_view id =
    slash == std::string::npos ? std::string_view() : key.substr(slash + 1);
  if (id.empty() || id.size() > kMaxIdBytes) {
    aErrors.push_back({ aKey, "must be of the form kind/id" });
  } else if (kind == "team") {
    AddEntry(aKey, id, aObject, aCatalog.m_teams, aErrors, ReadTeam);
  } else if (kind == "model") {
    AddEntry(aKey, id, aObject, aCatalog.m_models, aErrors, ReadModel);
  } else if (kind == "version") {
    AddEntry(aKey, id, aObject, aCatalog.m_versions, aErrors, ReadVersion);
  } else if (kind == "service") {
    AddEntry(aKey, id, aObject, aCatalog.m_services, aErrors, ReadService);
  } else if (kind == "upstream-rule") {
    AddEntry(
      aKey, id, aObject, aCatalog.m_upstreamRules, aErrors, ReadUpstreamRule);
  } else if (kind == "rollout") {
    AddEntry(aKey, id, aObject, aCatalog.m_rollouts, aErrors, ReadRollout);
  } else if (kind == "out/domain") {
    aCatalog.m_domainsOut.emplace(id);
  } else if (kind == "out/version") {
    aCatalog.m_versionsOut.emplace(id);
  } else if (kind == "out/upstream") {
    aCatalog.m_upstreamsOut.emplace(id);
  } else if (kind == "quarantine") {
    AddQuarantine(aKey, id, aCatalog, aErrors);
  } else {
    aErrors.push_back({ aKey, "is of no known kind" });
  }
}

// Adds an error unless aVersion is empty or a version of aModel.
void
CheckVersionOfModel(const Catalog& aCatalog,
                    const std::string& aPath,
                    const std::string& aVersion,
                    const std::string& aModel,
                    Errors& aErrors)
{
  if (aVersion.empty()) {
    return; // the reader has reported the missing member
  }
  const Version* version = aCatalog.FindVersion(aVersion);
  if (version == nullptr) {
    aErrors.push_back({ aPath, "version '" + aVersion + "' is not defined" });
  } else if (version->m_model != aModel) {
    aErrors.push_back(
      { aPath, "version '" + aVersion + "' is not of model '" + aModel + "'" });
  }
}

// Checks the references between entries.
void
CheckReferences(const Catalog& aCatalog, Errors& aErrors)
{
  for (const auto& [id, team] : aCatalog.m_teams) {
    for (const std::string& model : team.m_models) {
      if (aCatalog.FindModel(model) == nullptr) {
        aErrors.push_back({ "team/" + id + ": models",
                            "model '" + model + "' is not defined" });
      }
    }
    for (const std::string& service : team.m_services) {
      if (aCatalog.FindService(service) == nullptr) {
        aErrors.push_back({ "team/" + id + ": services",
                            "service '" + service + "' is not defined" });
      }
    }
    for (const std::string& hash : team.m_keyHashes) {
      if (aCatalog.m_teamByKeyHash.at(hash) != id) {
        aErrors.push_back({ "team/" + id + ": key_hashes",
                            "a key belongs to another team too" });
      }
    }
  }
  for (const auto& [id, model] : aCatalog.m_models) {
    CheckVersionOfModel(
      aCatalog, "model/" + id + ": version", model.m_version, id, aErrors);
  }
  for (const auto& [id, version] : aCatalog.m_versions) {
    if (aCatalog.FindModel(version.m_model) == nullptr) {
      aErrors.push_back({ "version/" + id + ": model",
                          "model '" + version.m_model + "' is not defined" });
    }
  }
  for (const auto& [id, rule] : aCatalog.m_upstreamRules) {
    if (!rule.m_version.empty() &&
        aCatalog.FindVersion(rule.m_version) == nullptr) {
      aErrors.push_back({ "upstream-rule/" + id + ": version",
                          "version '" + rule.m_version + "' is not defined" });
    }
    if (!rule.m_service.empty() &&
        aCatalog.FindService(rule.m_service) == nullptr) {
      aErrors.push_back({ "upstream-rule/" + id + ": service",
                          "service '" + rule.m_service + "' is not defined" });
    }
  }
  for (const auto& [id, rollout] : aCatalog.m_rollouts) {
    const std::string path = "rollout/" + id;
    if (aCatalog.FindModel(id) == nullptr) {
      aErrors.push_back({ path, "model '" + id + "' is not defined" });
      continue;
    }
    CheckVersionOfModel(aCatalog, path + ": from", rollout.m_from, id, aErrors);
    CheckVersionOfModel(aCatalog, path + ": to", rollout.m_to, id, aErrors);
    if (rollout.m_from == rollout.m_to) {
      aErrors.push_back({ path + ": to", "must differ from from" });
    }
  }
}

} // namespace detail

Pointer
Build(const Entries& aEntries,
      uint64_t aRevision,
      std::vector<EntryError>& aErrors)
{
  auto catalog = std::make_shared<Catalog>();
  catalog->m_revision = aRevision;
  for (const auto& [key, text] : aEntries) {
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
      aErrors.push_back({ key, "must be a JSON object" });
      continue;
    }
    detail::AddEntryByKind(key, value.get_object(), *catalog, aErrors);
  }
  for (const auto& [id, team] : catalog->m_teams) {
    for (const std::string& hash : team.m_keyHashes) {
      catalog->m_teamByKeyHash.emplace(hash, id);
    }
  }
  detail::CheckReferences(*catalog, aErrors);
  return aErrors.empty() ? catalog : nullptr;
}

} // namespace chivefront::catalog
