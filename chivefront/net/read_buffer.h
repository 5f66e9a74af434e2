// The bytes of an HTTP connection that the parser has not taken yet. The parser
// takes a head, a chunk's header and the trailers only as a whole, and its own
// limits do not count the last two, so a peer could send them without end.
#pragma once

#include <algorithm>

#include <boost/beast/core/flat_buffer.hpp>

namespace chivefront::net {

// A read beyond the bound fails with http::error::buffer_overflow.
class ReadBuffer : public boost::beast::flat_buffer
{
public:
  ReadBuffer()
    : boost::beast::flat_buffer(kMaxBytes)
  {
  }

  // Makes room for heads of up to aBytes.
  void AllowHead(size_t aBytes)
  {
    max_size(std::max(kMaxBytes, aBytes + kReadBytes));
  }

private:
  // More than the head of any request or answer with the default limits.
  static constexpr size_t kMaxBytes = 64 * 1024;
  // Bytes of a body that may arrive together with the end of the head.
  static constexpr size_t kReadBytes = 4 * 1024;
};

} // namespace chivefront::net
