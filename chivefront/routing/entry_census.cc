// Counting of present and absent entries.
#include "chivefront/routing/entry_census.h"

#include <algorithm>

namespace chivefront::routing {
namespace detail {

// An entry that is absent for longer has most likely been removed.
constexpr base::Millis kAbsentRetention{ 60000 };

} // namespace detail

void
EntryCensus::RecordPoll(const std::string& aProcess,
                        uint32_t aLiveEntries,
                        base::TimePoint aNow)
{
  m_polledAt[aProcess] = aNow;
  if (aLiveEntries >= m_named || aNow - m_namedAt > detail::kAbsentRetention) {
    m_named = aLiveEntries;
    m_namedAt = aNow;
  }
}

double
EntryCensus::AbsentShare(base::TimePoint aNow)
{
  std::erase_if(m_polledAt, [aNow](const auto& aItem) {
    return aNow - aItem.second > detail::kAbsentRetention;
  });
  const auto present = static_cast<size_t>(std::count_if(
    m_polledAt.begin(), m_polledAt.end(), [aNow](const auto& aItem) {
      return aNow - aItem.second < kFallbackDelay;
    }));
  const size_t known = std::max<size_t>(m_polledAt.size(), m_named);
  return known == 0
           ? 0
           : static_cast<double>(known - present) / static_cast<double>(known);
}

} // namespace chivefront::routing
