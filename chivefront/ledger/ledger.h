// The replicated state machine of a ledger group. It stores which version each
// session is pinned to, claims of non-idempotent requests, bill lines, and
// suspects: requests that were in flight on upstreams that were lost.
//
//   ledger::Ledger ledger(bounds);          // passed to a consensus group
//   group.Propose(ledger::EncodeCommand(request, logTime), ...);
//   auto reply = ledger::DecodeReply(result);
//
// Every command is idempotent. The state is bounded: a pin, claim or bill that
// does not fit is refused with a reason (LedgerReply.refused), and none of them
// is dropped before its retention ends. When there are too many suspects or
// loss ids, the oldest are dropped, which only delays a quarantine.
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

// Number of losses at which a request is to be quarantined.
inline constexpr uint32_t kQuarantineLosses = 3;

struct LedgerBounds
{
  // Upper limits on the numbers of entries.
  ClaimBounds m_claims;
  size_t m_pins = 1000000;
  BillBounds m_bills;
  size_t m_suspects = 65536;
  size_t m_losses = 65536;
  // A session that is idle for longer may be pinned to another version.
  uint64_t m_pinRetentionMs = 7UL * 24 * 3600 * 1000;
  uint64_t m_suspectRetentionMs = 24UL * 3600 * 1000;
};

// A request that has reached kQuarantineLosses.
struct QuarantineCandidate
{
  uint64_t m_fingerprint = 0;
  uint32_t m_losses = 0;
  uint64_t m_changed = 0; // log time of the last loss
};

// The log entry of aRequest with the stamp aLogTime (see log_time.h).
std::string
EncodeCommand(const wire::LedgerRequestT& aRequest, uint64_t aLogTime);

// Decodes a result of Ledger::Apply; Corrupt if it is not a reply.
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

  // The functions below are thread-safe.

  // Log time of the last applied command.
  uint64_t Time() const;
  // Requests with at least kQuarantineLosses losses.
  std::vector<QuarantineCandidate> QuarantineCandidates() const;
  // Fingerprints of suspects by their last loss, newest first, at most aMax.
  std::vector<uint64_t> NewestSuspects(size_t aMax) const;
  struct EntryCounts
  {
    size_t m_pins = 0;
    size_t m_claims = 0;
    size_t m_bills = 0;
    size_t m_suspects = 0;
    size_t m_responseBytes = 0; // of all stored responses
  };
  EntryCounts CountEntries() const;

private:
  struct State;

  const LedgerBounds m_bounds;
  mutable std::mutex m_lock; // guards m_state
  std::unique_ptr<State> m_state;
};

} // namespace chivefront::ledger
