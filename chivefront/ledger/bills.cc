// Deduplication of bill lines, totals, and their part of a snapshot.
#include "chivefront/ledger/bills.h"

#include <algorithm>
#include <set>

namespace chivefront::ledger {
namespace detail {

// Lines in one reply; the size of a frame is bounded.
constexpr uint32_t kMaxQueriedLines = 10000;
// Lines in one posted bill.
constexpr size_t kMaxPostedLines = 4096;
// Words per line in bill_keys of a snapshot: log time and both halves of the
// key.
constexpr size_t kWordsPerLine = 3;

} // namespace detail

Bills::Key
Bills::KeyOf(const wire::BillLineT& aLine)
{
  return { base::StableHash(aLine.request_id, 2UL * aLine.run),
           base::StableHash(aLine.request_id, 2UL * aLine.run + 1) };
}

void
Bills::Post(const wire::PostBillT& aCommand,
            uint64_t aNow,
            wire::LedgerReplyT& aReply)
{
  std::set<Key> fresh;
  for (const auto& line : aCommand.lines) {
    const Key key = KeyOf(*line);
    if (m_keys.count(key) == 0) {
      fresh.insert(key);
    }
  }
  if (aCommand.lines.size() > detail::kMaxPostedLines ||
      m_keys.size() + fresh.size() > m_bounds.m_lines) {
    aReply.refused = "too many bill lines";
    return;
  }
  for (const auto& line : aCommand.lines) {
    const Key key = KeyOf(*line);
    if (!m_keys.insert(key).second) {
      continue;
    }
    m_byTime.push_back({ aNow, key });
    m_recentLines.push_back(*line);
    if (m_recentLines.size() > m_bounds.m_recentLines) {
      m_recentLines.pop_front();
    }
    wire::TeamTotalT& total = m_totals[line->team];
    total.team = line->team;
    total.lines += 1;
    total.cost_micros += line->cost_micros;
  }
}

void
Bills::Query(const wire::QueryBillsT& aCommand,
             wire::LedgerReplyT& aReply) const
{
  const size_t limit =
    std::min(aCommand.limit == 0 ? detail::kMaxQueriedLines : aCommand.limit,
             detail::kMaxQueriedLines);
  // The newest lines first.
  for (auto line = m_recentLines.rbegin();
       line != m_recentLines.rend() && aReply.lines.size() < limit;
       ++line) {
    if ((aCommand.team.empty() || line->team == aCommand.team) &&
        (aCommand.request_id.empty() ||
         line->request_id == aCommand.request_id)) {
      aReply.lines.push_back(std::make_unique<wire::BillLineT>(*line));
    }
  }
  for (const auto& [team, total] : m_totals) {
    if (aCommand.team.empty() || team == aCommand.team) {
      aReply.total_lines += total.lines;
      aReply.total_cost_micros += total.cost_micros;
    }
  }
}

void
Bills::Expire(uint64_t aNow)
{
  while (!m_byTime.empty() &&
         m_byTime.front().m_posted + m_bounds.m_retentionMs < aNow) {
    m_keys.erase(m_byTime.front().m_key);
    m_byTime.pop_front();
  }
}

void
Bills::Save(wire::LedgerSnapshotT& aSnapshot) const
{
  aSnapshot.bill_keys.reserve(m_byTime.size() * detail::kWordsPerLine);
  for (const PostedKey& posted : m_byTime) {
    aSnapshot.bill_keys.push_back(posted.m_posted);
    aSnapshot.bill_keys.push_back(posted.m_key.m_high);
    aSnapshot.bill_keys.push_back(posted.m_key.m_low);
  }
  for (const wire::BillLineT& line : m_recentLines) {
    aSnapshot.bills.push_back(std::make_unique<wire::BillLineT>(line));
  }
  for (const auto& [team, total] : m_totals) {
    aSnapshot.totals.push_back(std::make_unique<wire::TeamTotalT>(total));
  }
}

bool
Bills::Load(const wire::LedgerSnapshotT& aSnapshot)
{
  const std::vector<uint64_t>& words = aSnapshot.bill_keys;
  if (words.size() % detail::kWordsPerLine != 0) {
    return false;
  }
  m_keys.reserve(words.size() / detail::kWordsPerLine);
  for (size_t i = 0; i < words.size(); i += detail::kWordsPerLine) {
    const Key key{ words[i + 1], words[i + 2] };
    m_byTime.push_back({ words[i], key });
    m_keys.insert(key);
  }
  for (const auto& line : aSnapshot.bills) {
    m_recentLines.push_back(*line);
  }
  for (const auto& total : aSnapshot.totals) {
    m_totals[total->team] = *total;
  }
  return true;
}

} // namespace chivefront::ledger
