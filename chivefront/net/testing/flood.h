// A peer that sends without end.
#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/net/task.h"

namespace chivefront::net::testing {

// Writes aStart and then aText again and again. Returns the bytes of the latter
// that were taken until the peer closed.
inline Task<size_t>
WriteWithoutEnd(asio::ip::tcp::socket& aSocket,
                std::string aStart,
                std::string aText)
{
  constexpr size_t kPieceBytes = 64 * 1024;
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += aText;
  }
  boost::system::error_code error;
  (void)co_await asio::async_write(
    aSocket,
    asio::buffer(aStart),
    asio::redirect_error(asio::use_awaitable, error));
  size_t sent = 0;
  while (!error) {
    sent += co_await asio::async_write(
      aSocket,
      asio::buffer(piece),
      asio::redirect_error(asio::use_awaitable, error));
  }
  co_return sent;
}

} // namespace chivefront::net::testing
