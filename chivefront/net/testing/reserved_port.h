// A loopback port for a test that must know it before its server listens.
//
//   testing::ReservedPort port;
//   server.Listen(port.Address()); // any number of times
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>

#include "chivefront/base/settings.h"

namespace chivefront::net::testing {

// Keeps a socket bound to the port for its lifetime, so that the system gives
// the port to no one who asks for a free one. The socket does not listen:
// connections are refused until a server listens. The server must set
// SO_REUSEADDR, as all servers of this project do.
class ReservedPort
{
public:
  ReservedPort()
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int enabled = 1;
    boost::asio::ip::tcp::endpoint endpoint(
      boost::asio::ip::address_v4::loopback(), 0);
    auto size = static_cast<socklen_t>(endpoint.size());
    if (m_socket < 0 ||
        ::setsockopt(
          m_socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) != 0 ||
        ::bind(m_socket, endpoint.data(), size) != 0 ||
        ::getsockname(m_socket, endpoint.data(), &size) != 0) {
      throw std::runtime_error("cannot reserve a port");
    }
    m_port = endpoint.port();
  }
  ~ReservedPort() { ::close(m_socket); }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  uint16_t Port() const { return m_port; }
  base::Endpoint Address() const { return { "127.0.0.1", m_port }; }

private:
  const int m_socket; // bound, never listens
  uint16_t m_port = 0;
};

} // namespace chivefront::net::testing
