// Compression with Boost.Beast's implementation of zlib.
#include "chivefront/base/deflate.h"

#include <algorithm>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::base {
namespace zlib = boost::beast::zlib;

namespace detail {

// Configurations repeat the names of their fields, so that a higher level saves
// few bytes more.
constexpr int kLevel = 3;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr size_t kInflateStepBytes = 64 * 1024;
// Follows the deflated bytes: inflate_stream looks one byte ahead before it
// recognizes the end.
constexpr char kEndMark = '\0';

} // namespace detail

std::string
Deflate(std::string_view aText)
{
  zlib::deflate_stream stream;
  stream.reset(detail::kLevel,
               detail::kWindowBits,
               detail::kMemoryLevel,
               zlib::Strategy::normal);
  std::string packed(stream.upper_bound(aText.size()), '\0');
  zlib::z_params params;
  params.next_in = aText.data();
  params.avail_in = aText.size();
  params.next_out = packed.data();
  params.avail_out = packed.size();
  boost::system::error_code error; // end_of_stream: the output has room for all
  stream.write(params, zlib::Flush::finish, error);
  packed.resize(params.total_out);
  return packed + detail::kEndMark;
}

absl::StatusOr<std::string>
Inflate(std::string_view aPacked, size_t aMaxBytes)
{
  zlib::inflate_stream stream;
  stream.reset(detail::kWindowBits);
  std::string text;
  zlib::z_params params;
  params.next_in = aPacked.data();
  params.avail_in = aPacked.size();
  boost::system::error_code error;
  while (!error) {
    if (text.size() > aMaxBytes) {
      return MakeError(ErrorKind::BodyTooLarge, "the text exceeds the bound");
    }
    const size_t before = text.size();
    text.resize(before + detail::kInflateStepBytes);
    params.next_out = text.data() + before;
    params.avail_out = detail::kInflateStepBytes;
    stream.write(params, zlib::Flush::sync, error);
    text.resize(text.size() - params.avail_out);
  }
  const bool isEnd = params.avail_in == 0 || params.avail_in == 1;
  if (error != zlib::error::end_of_stream || !isEnd ||
      aPacked.back() != detail::kEndMark) {
    return MakeError(ErrorKind::Corrupt, "not a whole deflated text");
  }
  if (text.size() > aMaxBytes) {
    return MakeError(ErrorKind::BodyTooLarge, "the text exceeds the bound");
  }
  return text;
}

} // namespace chivefront::base
