// Execution of ledger commands, and expiry.
#include "chivefront/ledger/ledger.h"

#include <algorithm>

#include "chivefront/base/errors.h"
#include "chivefront/ledger/state.h"
#include "chivefront/wire/pack.h"

namespace chivefront::ledger {
namespace detail {

// In one loss report.
constexpr size_t kMaxFingerprints = 4096;
// Size of a team, session, version, key, owner or request id. It bounds the
// memory of one entry.
constexpr size_t kMaxNameBytes = 1024;

bool
FitNameLimit(std::initializer_list<const std::string*> aNames)
{
  return std::all_of(
    aNames.begin(), aNames.end(), [](const std::string* aName) {
      return aName->size() <= kMaxNameBytes;
    });
}

} // namespace detail

std::string
EncodeCommand(const wire::LedgerRequestT& aRequest, uint64_t aLogTime)
{
  wire::LedgerLogEntryT entry;
  entry.time_ms = aLogTime;
  entry.request = std::make_unique<wire::LedgerRequestT>(aRequest);
  return wire::Pack<wire::LedgerLogEntry>(entry);
}

absl::StatusOr<wire::LedgerReplyT>
DecodeReply(std::string_view aResult)
{
  wire::LedgerReplyT reply;
  if (!wire::Unpack<wire::LedgerReply>(aResult, reply)) {
    return base::MakeError(base::ErrorKind::Corrupt, "not a ledger reply");
  }
  return reply;
}

void
Ledger::State::Pin(const wire::PinSessionT& aCommand,
                   wire::LedgerReplyT& aReply)
{
  if (!detail::FitNameLimit(
        { &aCommand.team, &aCommand.session, &aCommand.version })) {
    aReply.refused = "name too long";
    return;
  }
  const SessionKey key{ aCommand.team, aCommand.session };
  const auto found = m_pins.find(key);
  if (found != m_pins.end()) {
    m_pinsByLastUse.erase({ found->second.used_ms, key });
    found->second.used_ms = m_time;
    m_pinsByLastUse.emplace(m_time, key);
    aReply.version = found->second.version;
    return;
  }
  if (m_pins.size() >= m_bounds.m_pins) {
    aReply.refused = "too many sessions";
    return;
  }
  wire::PinRecordT& pin = m_pins[key];
  pin.team = aCommand.team;
  pin.session = aCommand.session;
  pin.version = aCommand.version;
  pin.used_ms = m_time;
  m_pinsByLastUse.emplace(m_time, key);
  aReply.version = pin.version;
}

void
Ledger::State::ReportLoss(const wire::ReportLossT& aCommand,
                          wire::LedgerReplyT& aReply)
{
  const std::set<uint64_t> inFlight(aCommand.fingerprints.begin(),
                                    aCommand.fingerprints.end());
  if (inFlight.size() > detail::kMaxFingerprints) {
    aReply.refused = "too many fingerprints";
    return;
  }
  if (m_losses.try_emplace(aCommand.loss_id, m_time).second) {
    m_lossesByTime.emplace(m_time, aCommand.loss_id);
    // The rule policy::SuspectRule::AllInFlight. A rule that counts only some
    // of the requests in flight can attribute the crash of one request to an
    // innocent suspect beside it; see docs/decisions/suspects.md.
    for (const uint64_t fingerprint : inFlight) {
      const auto found = m_suspects.find(fingerprint);
      SetSuspect(fingerprint,
                 found == m_suspects.end() ? 1 : found->second.losses + 1);
    }
  }
  for (const uint64_t fingerprint : inFlight) {
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
      auto row = std::make_unique<wire::SuspectT>();
      row->fingerprint = fingerprint;
      row->losses = found->second.losses;
      aReply.suspects.push_back(std::move(row));
    }
  }
}

void
Ledger::State::SetSuspect(uint64_t aFingerprint, uint32_t aLosses)
{
  const auto found = m_suspects.find(aFingerprint);
  if (found != m_suspects.end()) {
    m_suspectsByTime.erase({ found->second.changed_ms, aFingerprint });
    m_suspects.erase(found);
  }
  if (aLosses == 0) {
    return;
  }
  wire::SuspectRecordT& suspect = m_suspects[aFingerprint];
  suspect.fingerprint = aFingerprint;
  suspect.losses = aLosses;
  suspect.changed_ms = m_time;
  m_suspectsByTime.emplace(m_time, aFingerprint);
  if (m_suspects.size() > m_bounds.m_suspects) {
    const uint64_t oldest = m_suspectsByTime.begin()->second;
    m_suspectsByTime.erase(m_suspectsByTime.begin());
    m_suspects.erase(oldest);
  }
}

void
Ledger::State::Expire()
{
  const auto isExpired = [this](uint64_t aSince, uint64_t aRetention) {
    return aSince + aRetention < m_time;
  };
  m_claims.Expire(m_time);
  m_bills.Expire(m_time);
  while (!m_pinsByLastUse.empty() &&
         isExpired(m_pinsByLastUse.begin()->first, m_bounds.m_pinRetentionMs)) {
    m_pins.erase(m_pinsByLastUse.begin()->second);
    m_pinsByLastUse.erase(m_pinsByLastUse.begin());
  }
  while (
    !m_suspectsByTime.empty() &&
    isExpired(m_suspectsByTime.begin()->first, m_bounds.m_suspectRetentionMs)) {
    m_suspects.erase(m_suspectsByTime.begin()->second);
    m_suspectsByTime.erase(m_suspectsByTime.begin());
  }
  while (
    !m_lossesByTime.empty() &&
    (m_losses.size() > m_bounds.m_losses ||
     isExpired(m_lossesByTime.begin()->first, m_bounds.m_suspectRetentionMs))) {
    m_losses.erase(m_lossesByTime.begin()->second);
    m_lossesByTime.erase(m_lossesByTime.begin());
  }
}

void
Ledger::State::Execute(const wire::LedgerCommandUnion& aCommand,
                       wire::LedgerReplyT& aReply)
{
  switch (aCommand.type) {
    case wire::LedgerCommand::PinSession:
      return Pin(*aCommand.AsPinSession(), aReply);
    case wire::LedgerCommand::ClaimRequest: {
      const wire::ClaimRequestT& claim = *aCommand.AsClaimRequest();
      if (!detail::FitNameLimit(
            { &claim.team, &claim.key, &claim.owner, &claim.request_id })) {
        aReply.claim = wire::ClaimState::Unknown;
        aReply.refused = "name too long";
        return;
      }
      return m_claims.Claim(claim, m_time, aReply);
    }
    case wire::LedgerCommand::FinishClaim:
      return m_claims.Finish(*aCommand.AsFinishClaim(), m_time, aReply);
    case wire::LedgerCommand::PostBill:
      return m_bills.Post(*aCommand.AsPostBill(), m_time, aReply);
    case wire::LedgerCommand::ReportLoss:
      return ReportLoss(*aCommand.AsReportLoss(), aReply);
    case wire::LedgerCommand::ClearSuspect:
      return SetSuspect(aCommand.AsClearSuspect()->fingerprint, 0);
    case wire::LedgerCommand::QueryBills:
      return m_bills.Query(*aCommand.AsQueryBills(), aReply);
    default:
      aReply.refused = "unknown command";
  }
}

Ledger::Ledger(LedgerBounds aBounds)
  : m_bounds(aBounds)
  , m_state(std::make_unique<State>(m_bounds))
{
}

Ledger::~Ledger() = default;

std::string
Ledger::Apply(uint64_t, std::string_view aCommand)
{
  wire::LedgerReplyT reply;
  wire::LedgerLogEntryT entry;
  if (!wire::Unpack<wire::LedgerLogEntry>(aCommand, entry) || !entry.request) {
    reply.refused = "not a ledger command";
    return wire::Pack<wire::LedgerReply>(reply);
  }
  const std::lock_guard lock(m_lock);
  m_state->m_time = std::max(m_state->m_time, entry.time_ms);
  m_state->Expire();
  m_state->Execute(entry.request->command, reply);
  reply.ok = reply.refused.empty();
  return wire::Pack<wire::LedgerReply>(reply);
}

uint64_t
Ledger::Time() const
{
  const std::lock_guard lock(m_lock);
  return m_state->m_time;
}

std::vector<QuarantineCandidate>
Ledger::QuarantineCandidates() const
{
  const std::lock_guard lock(m_lock);
  std::vector<QuarantineCandidate> result;
  for (const auto& [fingerprint, suspect] : m_state->m_suspects) {
    if (suspect.losses >= kQuarantineLosses) {
      result.push_back({ fingerprint, suspect.losses, suspect.changed_ms });
    }
  }
  return result;
}

std::vector<uint64_t>
Ledger::NewestSuspects(size_t aMax) const
{
  const std::lock_guard lock(m_lock);
  std::vector<uint64_t> result;
  const auto& byTime = m_state->m_suspectsByTime;
  for (auto row = byTime.rbegin(); row != byTime.rend(); ++row) {
    if (result.size() == aMax) {
      break;
    }
    result.push_back(row->second);
  }
  return result;
}

Ledger::EntryCounts
Ledger::CountEntries() const
{
  const std::lock_guard lock(m_lock);
  return { m_state->m_pins.size(),
           m_state->m_claims.Size(),
           m_state->m_bills.Size(),
           m_state->m_suspects.size(),
           m_state->m_claims.ResponseBytes() };
}

} // namespace chivefront::ledger
