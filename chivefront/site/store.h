// The replicated state of a deployment whose configuration is one numbered
// document: the document, failure domains out of service, roll-outs, upstreams
// that have said that they leave, and the duties' holders and reports.
//
//   site::Store store;                          // passed to a consensus group
//   group.Propose(site::Encode(site::Configure{ 7, text }), done);
//   site::Outcome outcome = site::DecodeOutcome(result);
//
// The document with the highest number is in force. A document whose number is
// not higher changes nothing and is still accepted, so that repeated and
// superseded commands are acknowledged.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"
#include "chivefront/consensus/group.h"
#include "chivefront/site/departures.h"
#include "chivefront/site/duty_state.h"

namespace chivefront::site {

struct Configure
{
  uint64_t m_number = 0;
  std::string m_document;
};

struct SetDomain
{
  std::string m_domain;
  bool m_out = false;
};

struct StartRollout
{
  std::string m_service;
  std::string m_version; // the new version
  base::Millis m_span{ 0 };
  int64_t m_orderedAt = 0; // leader's wall clock, Unix milliseconds
};

enum class RolloutStage
{
  InProgress,
  Completed,
  RolledBack,
};

inline constexpr base::NameTable<RolloutStage, 3> kRolloutStageNames{ {
  { { RolloutStage::InProgress, "in_progress" },
    { RolloutStage::Completed, "completed" },
    { RolloutStage::RolledBack, "rolled_back" } },
} };

struct EndRollout
{
  std::string m_service;
  std::string m_version;
  RolloutStage m_stage = RolloutStage::RolledBack;
};

struct RecordDeparture
{
  Departure m_departure;
};

using Command = std::variant<Configure,
                             SetDomain,
                             StartRollout,
                             EndRollout,
                             RecordDeparture,
                             AcquireDuty,
                             DecideUsage,
                             ConfirmUsage>;

std::string
Encode(const Command& aCommand);

enum class Outcome
{
  Accepted,
  Busy,    // another roll-out of the service is in progress
  Unknown, // the command can't be decoded
};

Outcome
DecodeOutcome(std::string_view aResult);

struct Rollout
{
  std::string m_version;
  base::Millis m_span{ 0 };
  int64_t m_orderedAt = 0;
  RolloutStage m_stage = RolloutStage::InProgress;
  // Local time of the operator's order; an estimate after a restart.
  base::TimePoint m_started;
};

// The replicated state. A Store hands out immutable copies of it.
struct State
{
  uint64_t m_revision = 0; // number of commands that changed the state
  uint64_t m_number = 0;   // of the document; 0: none yet
  std::shared_ptr<const std::string> m_document; // null: none yet
  std::set<std::string> m_domainsOut;
  std::map<std::string, Rollout> m_rollouts; // by service
  // Never null. Not counted in m_revision: entries learn it with the registry.
  std::shared_ptr<const Departures> m_departures =
    std::make_shared<const Departures>();
  // Never null. Not counted in m_revision: entries don't use it.
  std::shared_ptr<const DutyState> m_duties =
    std::make_shared<const DutyState>();
};

class Store final : public consensus::StateMachine
{
public:
  explicit Store(const base::Clock& aClock);

  std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  absl::Status Restore(std::string_view aSnapshot) override;

  // Thread-safe.
  std::shared_ptr<const State> Current() const;

private:
  Outcome Execute(State& aState, const Configure& aCommand) const;
  Outcome Execute(State& aState, const SetDomain& aCommand) const;
  Outcome Execute(State& aState, const StartRollout& aCommand) const;
  Outcome Execute(State& aState, const EndRollout& aCommand) const;
  Outcome Execute(State& aState, const RecordDeparture& aCommand) const;
  Outcome Execute(State& aState, const AcquireDuty& aCommand) const;
  Outcome Execute(State& aState, const DecideUsage& aCommand) const;
  Outcome Execute(State& aState, const ConfirmUsage& aCommand) const;
  base::TimePoint LocalTimeOf(int64_t aOrderedAt, base::Millis aSpan) const;

  const base::Clock& m_clock;
  mutable std::mutex m_lock;
  std::shared_ptr<const State> m_state; // guarded by m_lock, never null
};

} // namespace chivefront::site
