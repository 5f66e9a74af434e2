// The state machine of a ledger group: session pins, claims, bills, suspects.
//
//   ledger::Ledger ledger(bounds);          // handed to a consensus group
//   group.Propose(ledger::EncodeCommand(request, logTime), ...);
//   auto reply = ledger::DecodeReply(result);
//
// Every command is idempotent. Bounded: a pin, claim or bill that does not
// fit is refused with a reason (LedgerReply.refused); nothing that a promise
// rests on is dropped before its retention ends. Old suspicions and loss ids
// are dropped, since losing them costs time only.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>

#include "chivefront/consensus/group.h"
#include "chivefront/ledger/bills.h"
#include "chivefront/ledger/claims.h"

namespace chivefront::ledger {

// Suspicions at which a request is quarantined.
inline constexpr uint32_t kQuarantineLosses = 3;

struct LedgerBounds
{
  ClaimBounds m_claims;
  size_t m_pins = 1000000;
  BillBounds m_bills;
  size_t m_suspects = 65536;
  size_t m_losses = 65536;
  // A session idle for longer than this may get another version.
  uint64_t m_pinRetentionMs = 7UL * 24 * 3600 * 1000;
  uint64_t m_suspectRetentionMs = 24UL * 3600 * 1000;
};

struct QuarantineCandidate
{
  uint64_t m_fingerprint = 0;
  uint32_t m_losses = 0;
  uint64_t m_changed = 0; // log time of the last loss
};

// The log entry for aRequest at aLogTime.
std::string
EncodeCommand(const wire::LedgerRequestT& aRequest, uint64_t aLogTime);

// The reply in a result of Ledger::Apply; Corrupt when it is none.
absl::StatusOr<wire::LedgerReplyT>
DecodeReply(std::string_view aResult);

class Ledger final : public consensus::StateMachine
{
public:
  explicit Ledger(LedgerBounds aBounds = {});
  ~Ledger() override;

  std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  absl::Status Restore(std::string_view aSnapshot) override;

  // Thread-safe readers.

  // Log time of the last applied command.
  uint64_t Time() const;
  // Requests with at least kQuarantineLosses suspicions.
  std::vector<QuarantineCandidate> QuarantineCandidates() const;
  // Requests with at least one suspicion, at most aMost, newest first.
  std::vector<uint64_t> NewestSuspects(size_t aMost) const;
  struct EntryCounts
  {
    size_t m_pins = 0;
    size_t m_claims = 0;
    size_t m_bills = 0;
    size_t m_suspects = 0;
    size_t m_responseBytes = 0;
  };
  EntryCounts CountEntries() const;

private:
  struct State;

  const LedgerBounds m_bounds;
  mutable std::mutex m_lock; // guards m_state
  std::unique_ptr<State> m_state;
};

} // namespace chivefront::ledger
