// Bill lines. Each line is counted once, by its request id and run.
//
// A repeated line must be recognised for as long as its agent may still post
// it. For this, 24 bytes per line are kept in the order of time, so that a
// snapshot is little more than a copy: with complete lines, a snapshot of
// 500,000 took 1 s, longer than an election timeout. Complete lines are kept
// only for the newest ones. Totals per team include all lines ever posted.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>

#include "chivefront/base/ids.h"
#include "chivefront/wire/protocol_generated.hpp"
#include "chivefront/wire/state_generated.hpp"

namespace chivefront::ledger {

struct BillBounds
{
  size_t m_lines = 1000000;     // whose keys are kept
  size_t m_recentLines = 10000; // kept complete
  // Retention of keys; longer than an agent can be disconnected (an hour)
  // before it posts its usage.
  uint64_t m_retentionMs = 3UL * 3600 * 1000;
};

class Bills
{
public:
  explicit Bills(BillBounds aBounds = {})
    : m_bounds(aBounds)
  {
  }

  // Adds all lines or none, since a sender can't tell a bill that was added in
  // part from a complete one. Refused if the new lines do not all fit.
  void Post(const wire::PostBillT& aCommand,
            uint64_t aNow,
            wire::LedgerReplyT& aReply);
  void Query(const wire::QueryBillsT& aCommand,
             wire::LedgerReplyT& aReply) const;
  // Drops the keys of lines whose retention ended strictly before aNow.
  void Expire(uint64_t aNow);
  size_t Size() const { return m_keys.size(); }

  void Save(wire::LedgerSnapshotT& aSnapshot) const;
  // False if the snapshot is damaged.
  bool Load(const wire::LedgerSnapshotT& aSnapshot);

private:
  // Hash of 128 bits of request id and run; a line with a colliding hash is not
  // counted.
  using Key = base::RequestId;
  struct PostedKey
  {
    uint64_t m_posted = 0; // log time in ms
    Key m_key;
  };

  static Key KeyOf(const wire::BillLineT& aLine);

  const BillBounds m_bounds;
  std::deque<PostedKey> m_byTime; // oldest first; the same keys as m_keys
  std::unordered_set<Key, base::RequestIdHash> m_keys;
  std::deque<wire::BillLineT> m_recentLines;        // oldest first
  std::map<std::string, wire::TeamTotalT> m_totals; // by team
};

} // namespace chivefront::ledger
