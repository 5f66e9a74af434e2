// The prompt prefix cache of the fake engine. A block is identified by the hash
// of the prompt up to the end of the block; the least recently used block is
// evicted first.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fakes {

class PrefixCache
{
public:
  explicit PrefixCache(size_t aBlocks)
    : m_capacity(aBlocks)
  {
  }

  // Adds the blocks of a prompt and returns how many of its first bytes were
  // cached before. Hashes of new blocks are appended to aAdded.
  size_t Use(std::string_view aPrompt, std::vector<uint64_t>& aAdded);

  static constexpr size_t kBlockBytes = 64;

private:
  const size_t m_capacity;
  std::list<uint64_t> m_order; // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
};

} // namespace fakes
