// LRU cache of prompt blocks.
#include "fakes/prefix_cache.h"

#include "chivefront/base/ids.h"

namespace fakes {

size_t
PrefixCache::Use(std::string_view aPrompt, std::vector<uint64_t>& aAdded)
{
  size_t cached = 0;
  bool prefixHeld = true;
  for (size_t end = kBlockBytes; end <= aPrompt.size(); end += kBlockBytes) {
    const uint64_t hash = chivefront::base::StableHash(aPrompt.substr(0, end));
    const auto found = m_blocks.find(hash);
    if (found != m_blocks.end()) {
      m_order.splice(m_order.begin(), m_order, found->second);
      cached = prefixHeld ? end : cached;
      continue;
    }
    prefixHeld = false;
    if (m_capacity == 0) {
      continue;
    }
    m_order.push_front(hash);
    m_blocks[hash] = m_order.begin();
    aAdded.push_back(hash);
    if (m_blocks.size() > m_capacity) {
      m_blocks.erase(m_order.back());
      m_order.pop_back();
    }
  }
  return cached;
}

} // namespace fakes
