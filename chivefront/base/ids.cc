// Identifiers and hashes. Random numbers and digests come from OpenSSL.
#include "chivefront/base/ids.h"

#include <charconv>
#include <cstdio>
#include <cstdlib>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivefront::base {
namespace detail {

constexpr size_t kHexDigitsPerWord = 16;

std::optional<uint64_t>
ParseHexWord(std::string_view aText)
{
  uint64_t word = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, word, 16);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return word;
}

} // namespace detail

std::string
RequestId::ToString() const
{
  char text[2 * detail::kHexDigitsPerWord + 1];
  std::snprintf(text,
                sizeof(text),
                "%016llx%016llx",
                static_cast<unsigned long long>(m_high),
                static_cast<unsigned long long>(m_low));
  return text;
}

std::optional<RequestId>
RequestId::Parse(std::string_view aText)
{
  if (aText.size() != 2 * detail::kHexDigitsPerWord) {
    return std::nullopt;
  }
  const auto high =
    detail::ParseHexWord(aText.substr(0, detail::kHexDigitsPerWord));
  const auto low =
    detail::ParseHexWord(aText.substr(detail::kHexDigitsPerWord));
  if (!high || !low) {
    return std::nullopt;
  }
  return RequestId{ *high, *low };
}

RequestId
RequestId::Random()
{
  return RequestId{ RandomBits(), RandomBits() };
}

RequestId
RequestId::FromKey(std::string_view aTeam, std::string_view aKey)
{
  constexpr uint64_t kHighSeed = 1;
  constexpr uint64_t kLowSeed = 2;
  std::string joined(aTeam);
  joined.push_back('\0');
  joined.append(aKey);
  return RequestId{ StableHash(joined, kHighSeed),
                    StableHash(joined, kLowSeed) };
}

uint64_t
StableHash(std::string_view aBytes, uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

uint64_t
RandomBits()
{
  uint64_t bits = 0;
  // A repeated identifier would make one request of two callers' requests, so
  // the process cannot continue without a source of random numbers.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&bits), sizeof(bits)) != 1) {
    std::abort();
  }
  return bits;
}

std::string
Sha256Hex(std::string_view aBytes)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(
    aBytes.data(), aBytes.size(), digest, &size, EVP_sha256(), nullptr);
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * size);
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kDigits[digest[i] >> 4]);
    hex.push_back(kDigits[digest[i] & 0xf]);
  }
  return hex;
}

std::string
HmacSha256(std::string_view aKey, std::string_view aBytes)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()),
       aBytes.size(),
       digest,
       &size);
  return std::string(reinterpret_cast<const char*>(digest), size);
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace chivefront::base
