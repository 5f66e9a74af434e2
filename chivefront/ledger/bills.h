// Bills: each line is counted once, by request id and run.
//
// What counts for a promise is that a repeated line is recognised while its
// agent may still post it. That needs 24 bytes a line, in the order of time,
// so that a snapshot is little more than a copy: with whole lines a snapshot
// of 500,000 took 1 s, longer than an election timeout. Whole lines are kept
// for the newest only; totals per team cover all lines ever posted.
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
  size_t m_lines = 1000000;    // recognised lines
  size_t m_shownLines = 10000; // whole lines
  // Longer than an agent can be cut off (an hour) before it posts its usage.
  uint64_t m_retentionMs = 3UL * 3600 * 1000;
};

class Bills
{
public:
  explicit Bills(BillBounds aBounds = {})
    : m_bounds(aBounds)
  {
  }

  // All lines or none: a bill taken in part could not be told apart from one
  // taken whole. Refused when not all new lines fit.
  void Post(const wire::PostBillT& aCommand,
            uint64_t aNow,
            wire::LedgerReplyT& aReply);
  void Query(const wire::QueryBillsT& aCommand,
             wire::LedgerReplyT& aReply) const;
  // Forgets lines whose retention ended strictly before aNow.
  void Expire(uint64_t aNow);
  size_t Size() const { return m_known.size(); }

  void Save(wire::LedgerSnapshotT& aSnapshot) const;
  // False when the bytes are damaged.
  bool Load(const wire::LedgerSnapshotT& aSnapshot);

private:
  // Hash of request id and run; a collision of 128 bits would drop a line.
  using Key = base::RequestId;
  struct Known
  {
    uint64_t m_posted = 0; // log time
    Key m_key;
  };

  static Key KeyOf(const wire::BillLineT& aLine);

  const BillBounds m_bounds;
  std::deque<Known> m_byTime; // oldest first; the same keys as m_known
  std::unordered_set<Key, base::RequestIdHash> m_known;
  std::deque<wire::BillLineT> m_shown; // oldest first
  std::map<std::string, wire::TeamTotalT> m_totals;
};

} // namespace chivefront::ledger
