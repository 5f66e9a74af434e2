// Accepts what waits in the backlog of a listening socket.
#pragma once

#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "chivefront/net/task.h"

namespace chivefront::net {

// Accepts the connections that the kernel has accepted by now, without waiting.
// Before a listening socket is closed: the kernel resets those that are left.
inline std::vector<asio::ip::tcp::socket>
AcceptPending(asio::ip::tcp::acceptor& aAcceptor)
{
  std::vector<asio::ip::tcp::socket> sockets;
  boost::system::error_code error;
  aAcceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(aAcceptor.get_executor());
    aAcceptor.accept(socket, error);
    if (!error) {
      sockets.push_back(std::move(socket));
    }
  }
  return sockets;
}

} // namespace chivefront::net
