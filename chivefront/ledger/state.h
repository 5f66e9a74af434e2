// The state of a ledger, internal to this folder.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "chivefront/ledger/ledger.h"

namespace chivefront::ledger {

struct Ledger::State
{
  explicit State(const LedgerBounds& aBounds)
    : m_bounds(aBounds)
    , m_claims(aBounds.m_claims)
    , m_bills(aBounds.m_bills)
  {
  }

  using SessionKey = std::pair<std::string, std::string>; // team and session

  // Drops all entries whose retention has ended.
  void Expire();
  void Execute(const wire::LedgerCommandUnion& aCommand,
               wire::LedgerReplyT& aReply);
  void Pin(const wire::PinSessionT& aCommand, wire::LedgerReplyT& aReply);
  void ReportLoss(const wire::ReportLossT& aCommand,
                  wire::LedgerReplyT& aReply);
  // Sets the number of losses of a suspect; 0 removes it.
  void SetSuspect(uint64_t aFingerprint, uint32_t aLosses);

  const LedgerBounds& m_bounds;
  uint64_t m_time = 0; // log time; never decreases
  Claims m_claims;
  Bills m_bills;
  // Each map below has an index by log time with exactly the same keys.
  std::map<SessionKey, wire::PinRecordT> m_pins;
  std::set<std::pair<uint64_t, SessionKey>> m_pinsByLastUse;
  std::map<uint64_t, wire::SuspectRecordT> m_suspects;
  std::set<std::pair<uint64_t, uint64_t>> m_suspectsByTime;
  std::map<std::string, uint64_t> m_losses; // loss id to log time
  std::set<std::pair<uint64_t, std::string>> m_lossesByTime;
};

} // namespace chivefront::ledger
