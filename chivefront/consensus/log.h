// The part of the Raft log that is held in memory.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "chivefront/consensus/types.h"

namespace chivefront::consensus {

// Consecutive entries after a base entry, of which only the index and term are
// known.
class Log
{
public:
  Log() = default;
  Log(uint64_t aBaseIndex, uint64_t aBaseTerm, std::vector<Entry> aEntries)
    : m_baseIndex(aBaseIndex)
    , m_baseTerm(aBaseTerm)
    , m_entries(std::make_move_iterator(aEntries.begin()),
                std::make_move_iterator(aEntries.end()))
  {
  }

  uint64_t BaseIndex() const { return m_baseIndex; }
  uint64_t LastIndex() const { return m_baseIndex + m_entries.size(); }
  uint64_t LastTerm() const { return TermAt(LastIndex()); }
  // Returns 0 for entries that are not in memory.
  uint64_t TermAt(uint64_t aIndex) const
  {
    if (aIndex == m_baseIndex) {
      return m_baseTerm;
    }
    return Contains(aIndex) ? At(aIndex).m_term : 0;
  }
  bool Contains(uint64_t aIndex) const
  {
    return aIndex > m_baseIndex && aIndex <= LastIndex();
  }
  const Entry& At(uint64_t aIndex) const
  {
    return m_entries[aIndex - m_baseIndex - 1];
  }

  void Append(Entry aEntry) { m_entries.push_back(std::move(aEntry)); }
  // Removes the entry aIndex, which must be in memory, and all entries after
  // it.
  void TruncateFrom(uint64_t aIndex)
  {
    m_entries.resize(aIndex - m_baseIndex - 1);
  }
  // Removes all entries up to aIndex, which becomes the base. Does nothing when
  // the entry aIndex is not in memory.
  void DropThrough(uint64_t aIndex)
  {
    if (Contains(aIndex)) {
      m_baseTerm = TermAt(aIndex);
      m_entries.erase(m_entries.begin(),
                      m_entries.begin() +
                        static_cast<std::ptrdiff_t>(aIndex - m_baseIndex));
      m_baseIndex = aIndex;
    }
  }
  void Reset(uint64_t aBaseIndex, uint64_t aBaseTerm)
  {
    m_entries.clear();
    m_baseIndex = aBaseIndex;
    m_baseTerm = aBaseTerm;
  }

private:
  uint64_t m_baseIndex = 0;
  uint64_t m_baseTerm = 0;
  std::deque<Entry> m_entries;
};

} // namespace chivefront::consensus
