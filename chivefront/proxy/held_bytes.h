// Bound on the bodies that an entry holds over all its connections: requests
// that arrive or wait for their upstream, and answers that are read whole
// before they are passed on. Each has a bound of its own, but thousands of slow
// callers together would need more memory than a host has.
//
//   const auto held = std::make_shared<HeldBytes>(limit);
//   HeldBytes::Claim claim(held);
//   if (!claim.Resize(body.size())) ... refuse it, or pass it on ...
//
// Does no I/O; not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace chivefront::proxy {

class HeldBytes
{
public:
  // A claim on this many bytes always succeeds and is not counted, so that
  // large bodies do not keep out the small requests beside them.
  static constexpr size_t kFreeBytes = 8 * 1024;

  explicit HeldBytes(size_t aLimit)
    : m_limit(aLimit)
  {
  }

  size_t Total() const { return m_total; }

  // The bytes of one body; given back when the claim ends. Connections may
  // outlive the entry until their event loop ends, and their claims with them.
  class Claim
  {
  public:
    explicit Claim(std::shared_ptr<HeldBytes> aHeld)
      : m_held(std::move(aHeld))
    {
    }
    ~Claim() { (void)Resize(0); }
    Claim(const Claim&) = delete;
    Claim& operator=(const Claim&) = delete;

    // Returns false and changes nothing if the limit would be exceeded.
    bool Resize(size_t aBytes)
    {
      const size_t counted = aBytes - std::min(aBytes, kFreeBytes);
      const size_t others = m_held->m_total - m_counted;
      if (counted > m_counted && others + counted > m_held->m_limit) {
        return false;
      }
      m_held->m_total = others + counted;
      m_counted = counted;
      return true;
    }

  private:
    const std::shared_ptr<HeldBytes> m_held;
    size_t m_counted = 0;
  };

private:
  const size_t m_limit;
  size_t m_total = 0; // sum of m_counted of all claims, at most m_limit
};

} // namespace chivefront::proxy
