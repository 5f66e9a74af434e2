// Encoding and execution of commands, and snapshots. Commands and snapshots are
// JSON text, so that a replicated log is readable when something went wrong.
#include "chivefront/site/store.h"

#include <algorithm>

#include <boost/json.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::site {
namespace json = boost::json;
namespace {

json::object
ToJson(const Configure& aCommand)
{
  return { { "configure",
             { { "number", aCommand.m_number },
               { "document", aCommand.m_document } } } };
}

json::object
ToJson(const SetDomain& aCommand)
{
  return { { "domain",
             { { "name", aCommand.m_domain }, { "out", aCommand.m_out } } } };
}

json::object
ToJson(const StartRollout& aCommand)
{
  return { { "start_rollout",
             { { "service", aCommand.m_service },
               { "version", aCommand.m_version },
               { "span_ms", aCommand.m_span.Count() },
               { "ordered_at", aCommand.m_orderedAt } } } };
}

json::object
ToJson(const EndRollout& aCommand)
{
  return {
    { "end_rollout",
      { { "service", aCommand.m_service },
        { "version", aCommand.m_version },
        { "stage", std::string(kRolloutStageNames.Name(aCommand.m_stage)) } } }
  };
}

json::object
ToJson(const Departure& aDeparture)
{
  const std::string_view state =
    routing::kInstanceStateNames.Name(aDeparture.m_state);
  return { { "upstream", aDeparture.m_upstream },
           { "born", aDeparture.m_born },
           { "state", std::string(state) },
           { "recorded_at", aDeparture.m_recordedAt },
           { "number", aDeparture.m_number } };
}

json::object
ToJson(const RecordDeparture& aCommand)
{
  return { { "departure", ToJson(aCommand.m_departure) } };
}

std::string
Text(const json::object& aObject, const char* aName)
{
  return json::value_to<std::string>(aObject.at(aName));
}

RolloutStage
StageOf(const json::object& aObject)
{
  const auto stage = kRolloutStageNames.Find(Text(aObject, "stage"));
  return stage.value_or(RolloutStage::RolledBack);
}

Departure
DepartureOf(const json::object& aObject)
{
  const auto state = routing::kInstanceStateNames.Find(Text(aObject, "state"));
  return { Text(aObject, "upstream"),
           aObject.at("born").to_number<uint64_t>(),
           state.value_or(routing::InstanceState::Gone),
           aObject.at("recorded_at").to_number<int64_t>(),
           aObject.at("number").to_number<uint64_t>() };
}

// Throws when aText is not an encoded command.
Command
Decode(std::string_view aText)
{
  const json::value value = json::parse({ aText.data(), aText.size() });
  const auto& [kind, body] = *value.as_object().begin();
  const json::object& fields = body.as_object();
  if (kind == "configure") {
    return Configure{ fields.at("number").to_number<uint64_t>(),
                      Text(fields, "document") };
  }
  if (kind == "domain") {
    return SetDomain{ Text(fields, "name"), fields.at("out").as_bool() };
  }
  if (kind == "start_rollout") {
    return StartRollout{ Text(fields, "service"),
                         Text(fields, "version"),
                         base::Millis(fields.at("span_ms").as_int64()),
                         fields.at("ordered_at").as_int64() };
  }
  if (kind == "departure") {
    return RecordDeparture{ DepartureOf(fields) };
  }
  if (kind == "acquire_duty") {
    return AcquireDutyOf(fields);
  }
  if (kind == "decide_usage") {
    return DecideUsageOf(fields);
  }
  if (kind == "confirm_usage") {
    return ConfirmUsageOf(fields);
  }
  return EndRollout{ Text(fields, "service"),
                     Text(fields, "version"),
                     StageOf(fields) };
}

template<typename DutyCommand>
Outcome
ExecuteDuty(State& aState, const DutyCommand& aCommand)
{
  auto duties = std::make_shared<DutyState>(*aState.m_duties);
  if (duties->Execute(aCommand)) {
    aState.m_duties = std::move(duties);
  }
  return Outcome::Accepted;
}

constexpr base::NameTable<Outcome, 3> kOutcomeNames{ {
  { { Outcome::Accepted, "accepted" },
    { Outcome::Busy, "busy" },
    { Outcome::Unknown, "unknown" } },
} };

} // namespace

std::string
Encode(const Command& aCommand)
{
  return std::visit(
    [](const auto& aKind) { return json::serialize(ToJson(aKind)); }, aCommand);
}

Outcome
DecodeOutcome(std::string_view aResult)
{
  return kOutcomeNames.Find(aResult).value_or(Outcome::Unknown);
}

Store::Store(const base::Clock& aClock)
  : m_clock(aClock)
  , m_state(std::make_shared<State>())
{
}

std::shared_ptr<const State>
Store::Current() const
{
  const std::lock_guard lock(m_lock);
  return m_state;
}

std::string
Store::Apply(uint64_t /*aIndex*/, std::string_view aCommand)
{
  auto next = std::make_shared<State>(*Current());
  const uint64_t before = next->m_revision;
  const auto departuresBefore = next->m_departures;
  const auto dutiesBefore = next->m_duties;
  Outcome outcome = Outcome::Unknown;
  try {
    outcome =
      std::visit([&](const auto& aKind) { return Execute(*next, aKind); },
                 Decode(aCommand));
  } catch (const std::exception&) {
    outcome = Outcome::Unknown; // reported to the proposer
  }
  if (next->m_revision != before || next->m_departures != departuresBefore ||
      next->m_duties != dutiesBefore) {
    const std::lock_guard lock(m_lock);
    m_state = std::move(next);
  }
  return std::string(kOutcomeNames.Name(outcome));
}

Outcome
Store::Execute(State& aState, const Configure& aCommand) const
{
  if (aCommand.m_number > aState.m_number) {
    aState.m_number = aCommand.m_number;
    aState.m_document =
      std::make_shared<const std::string>(aCommand.m_document);
    ++aState.m_revision;
  }
  return Outcome::Accepted;
}

Outcome
Store::Execute(State& aState, const SetDomain& aCommand) const
{
  const bool changed = aCommand.m_out
                         ? aState.m_domainsOut.insert(aCommand.m_domain).second
                         : aState.m_domainsOut.erase(aCommand.m_domain) > 0;
  aState.m_revision += changed ? 1 : 0;
  return Outcome::Accepted;
}

Outcome
Store::Execute(State& aState, const StartRollout& aCommand) const
{
  const auto found = aState.m_rollouts.find(aCommand.m_service);
  if (found != aState.m_rollouts.end()) {
    if (found->second.m_version == aCommand.m_version) {
      return Outcome::Accepted; // repeated
    }
    if (found->second.m_stage == RolloutStage::InProgress) {
      return Outcome::Busy;
    }
  }
  Rollout& rollout = aState.m_rollouts[aCommand.m_service];
  rollout = { aCommand.m_version,
              aCommand.m_span,
              aCommand.m_orderedAt,
              RolloutStage::InProgress,
              LocalTimeOf(aCommand.m_orderedAt, aCommand.m_span) };
  ++aState.m_revision;
  return Outcome::Accepted;
}

Outcome
Store::Execute(State& aState, const EndRollout& aCommand) const
{
  const auto found = aState.m_rollouts.find(aCommand.m_service);
  if (found == aState.m_rollouts.end() ||
      found->second.m_version != aCommand.m_version ||
      found->second.m_stage != RolloutStage::InProgress) {
    return Outcome::Accepted;
  }
  found->second.m_stage = aCommand.m_stage;
  ++aState.m_revision;
  return Outcome::Accepted;
}

Outcome
Store::Execute(State& aState, const RecordDeparture& aCommand) const
{
  auto departures = std::make_shared<Departures>(*aState.m_departures);
  if (departures->Record(aCommand.m_departure)) {
    aState.m_departures = std::move(departures);
  }
  return Outcome::Accepted;
}

Outcome
Store::Execute(State& aState, const AcquireDuty& aCommand) const
{
  return ExecuteDuty(aState, aCommand);
}

Outcome
Store::Execute(State& aState, const DecideUsage& aCommand) const
{
  return ExecuteDuty(aState, aCommand);
}

Outcome
Store::Execute(State& aState, const ConfirmUsage& aCommand) const
{
  return ExecuteDuty(aState, aCommand);
}

// A replica that applies the command when it is committed sees an age of about
// zero. A replica that replays its log later can only use the wall clock.
base::TimePoint
Store::LocalTimeOf(int64_t aOrderedAt, base::Millis aSpan) const
{
  const int64_t age = base::WallClockMillis() - aOrderedAt;
  return m_clock.Now() -
         base::Millis(std::clamp<int64_t>(age, 0, aSpan.Count()));
}

std::string
Store::TakeSnapshot() const
{
  const auto state = Current();
  json::array domains;
  for (const std::string& domain : state->m_domainsOut) {
    domains.emplace_back(domain);
  }
  json::array rollouts;
  for (const auto& [service, rollout] : state->m_rollouts) {
    rollouts.push_back(
      { { "service", service },
        { "version", rollout.m_version },
        { "span_ms", rollout.m_span.Count() },
        { "ordered_at", rollout.m_orderedAt },
        { "stage", std::string(kRolloutStageNames.Name(rollout.m_stage)) } });
  }
  json::array departures;
  state->m_departures->ForEachAfter(0, [&](const Departure& aDeparture) {
    departures.push_back(ToJson(aDeparture));
  });
  json::object snapshot{ { "revision", state->m_revision },
                         { "number", state->m_number },
                         { "domains_out", std::move(domains) },
                         { "rollouts", std::move(rollouts) },
                         { "departures", std::move(departures) },
                         { "duties", state->m_duties->ToJson() } };
  if (state->m_document) {
    snapshot["document"] = *state->m_document;
  }
  return json::serialize(snapshot);
}

absl::Status
Store::Restore(std::string_view aSnapshot)
{
  auto state = std::make_shared<State>();
  try {
    const json::value value =
      json::parse({ aSnapshot.data(), aSnapshot.size() });
    const json::object& fields = value.as_object();
    state->m_revision = fields.at("revision").to_number<uint64_t>();
    state->m_number = fields.at("number").to_number<uint64_t>();
    if (fields.contains("document")) {
      state->m_document =
        std::make_shared<const std::string>(Text(fields, "document"));
    }
    for (const json::value& domain : fields.at("domains_out").as_array()) {
      state->m_domainsOut.insert(json::value_to<std::string>(domain));
    }
    for (const json::value& item : fields.at("rollouts").as_array()) {
      const json::object& row = item.as_object();
      const base::Millis span(row.at("span_ms").as_int64());
      const int64_t orderedAt = row.at("ordered_at").as_int64();
      state->m_rollouts[Text(row, "service")] = { Text(row, "version"),
                                                  span,
                                                  orderedAt,
                                                  StageOf(row),
                                                  LocalTimeOf(orderedAt,
                                                              span) };
    }
    if (fields.contains("departures")) { // not in those of older releases
      auto departures = std::make_shared<Departures>();
      for (const json::value& item : fields.at("departures").as_array()) {
        departures->Restore(DepartureOf(item.as_object()));
      }
      state->m_departures = std::move(departures);
    }
    if (fields.contains("duties")) { // not in those of older releases
      state->m_duties = std::make_shared<const DutyState>(
        DutyState::Restore(fields.at("duties").as_object()));
    }
  } catch (const std::exception& error) {
    return base::MakeError(base::ErrorKind::Corrupt, error.what());
  }
  const std::lock_guard lock(m_lock);
  m_state = std::move(state);
  return absl::OkStatus();
}

} // namespace chivefront::site
