// The prompt prefix cache of the fake engine: blocks of a prompt by the hash
// of everything up to their end, least recently used out first. Pure.
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

  // Takes in a prompt; returns how many of its first bytes were cached.
  // Hashes of new blocks are appended to aAdded.
  size_t Use(std::string_view aPrompt, std::vector<uint64_t>& aAdded);

  static constexpr size_t kBlockBytes = 64;

private:
  const size_t m_capacity;
  std::list<uint64_t> m_order; // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
};

} // namespace fakes
