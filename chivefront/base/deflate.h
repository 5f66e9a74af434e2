// Compression of large texts that are sent between processes (RFC 1951).
//
//   const std::string packed = base::Deflate(text);
//   absl::StatusOr<std::string> text = base::Inflate(packed, kMaxBytes);
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace chivefront::base {

std::string
Deflate(std::string_view aText);

// Returns Corrupt when aPacked is not the whole result of Deflate, BodyTooLarge
// when the text has more than aMaxBytes bytes.
absl::StatusOr<std::string>
Inflate(std::string_view aPacked, size_t aMaxBytes);

} // namespace chivefront::base
