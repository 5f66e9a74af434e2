// Encoding and decoding of ledger snapshots.
#include "chivefront/base/errors.h"
#include "chivefront/ledger/state.h"
#include "chivefront/wire/pack.h"

namespace chivefront::ledger {

std::string
Ledger::TakeSnapshot() const
{
  const std::lock_guard lock(m_lock);
  wire::LedgerSnapshotT snapshot;
  snapshot.time_ms = m_state->m_time;
  for (const auto& [key, pin] : m_state->m_pins) {
    snapshot.pins.push_back(std::make_unique<wire::PinRecordT>(pin));
  }
  for (wire::ClaimRecordT& claim : m_state->m_claims.Save()) {
    snapshot.claims.push_back(
      std::make_unique<wire::ClaimRecordT>(std::move(claim)));
  }
  m_state->m_bills.Save(snapshot);
  for (const auto& [fingerprint, suspect] : m_state->m_suspects) {
    snapshot.suspects.push_back(
      std::make_unique<wire::SuspectRecordT>(suspect));
  }
  for (const auto& [id, seen] : m_state->m_losses) {
    auto record = std::make_unique<wire::LossRecordT>();
    record->loss_id = id;
    record->seen_ms = seen;
    snapshot.losses.push_back(std::move(record));
  }
  return wire::Pack<wire::LedgerSnapshot>(snapshot);
}

absl::Status
Ledger::Restore(std::string_view aSnapshot)
{
  wire::LedgerSnapshotT snapshot;
  if (!wire::Unpack<wire::LedgerSnapshot>(aSnapshot, snapshot)) {
    return base::MakeError(base::ErrorKind::Corrupt, "not a ledger snapshot");
  }
  auto state = std::make_unique<State>(m_bounds);
  state->m_time = snapshot.time_ms;
  for (const auto& pin : snapshot.pins) {
    const State::SessionKey key{ pin->team, pin->session };
    state->m_pins[key] = *pin;
    state->m_pinsByLastUse.emplace(pin->used_ms, key);
  }
  for (const auto& claim : snapshot.claims) {
    state->m_claims.Load(*claim);
  }
  if (!state->m_bills.Load(snapshot)) {
    return base::MakeError(base::ErrorKind::Corrupt, "damaged bill keys");
  }
  for (const auto& suspect : snapshot.suspects) {
    state->m_suspects[suspect->fingerprint] = *suspect;
    state->m_suspectsByTime.emplace(suspect->changed_ms, suspect->fingerprint);
  }
  for (const auto& loss : snapshot.losses) {
    state->m_losses[loss->loss_id] = loss->seen_ms;
    state->m_lossesByTime.emplace(loss->seen_ms, loss->loss_id);
  }
  const std::lock_guard lock(m_lock);
  m_state = std::move(state);
  return absl::OkStatus();
}

} // namespace chivefront::ledger
