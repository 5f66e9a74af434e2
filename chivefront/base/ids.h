// Identifiers and hashes shared by all processes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivefront::base {

// 128-bit identifier of one caller request. All attempts and cascade runs of a
// request have the same identifier.
struct RequestId
{
  uint64_t m_high = 0;
  uint64_t m_low = 0;

  auto operator<=>(const RequestId&) const = default;

  // 32 lower-case hexadecimal digits.
  std::string ToString() const;
  static std::optional<RequestId> Parse(std::string_view aText);
  static RequestId Random();
  // Derives the identifier from team and idempotency key, so that a request
  // that is sent again finds the claim and the bill of the first one.
  static RequestId FromKey(std::string_view aTeam, std::string_view aKey);
};

struct RequestIdHash
{
  size_t operator()(const RequestId& aId) const
  {
    return static_cast<size_t>(aId.m_high ^ (aId.m_low * 0x9e3779b97f4a7c15U));
  }
};

// Stable 64-bit hash: equal on every host and in every release, because the
// shard of a key and the requests that a roll-out receives depend on it.
uint64_t
StableHash(std::string_view aBytes, uint64_t aSeed = 0);

// Cryptographically random 64 bits.
uint64_t
RandomBits();

// Lower-case hexadecimal SHA-256 of aBytes. Keys of callers are stored as such
// a hash.
std::string
Sha256Hex(std::string_view aBytes);

// HMAC-SHA-256 of aBytes under aKey, 32 raw bytes.
std::string
HmacSha256(std::string_view aKey, std::string_view aBytes);

// Compares in a time that does not depend on the position of the first
// difference.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace chivefront::base
