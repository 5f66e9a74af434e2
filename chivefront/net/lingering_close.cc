// Reads and drops with an absolute deadline.
#include "chivefront/net/lingering_close.h"

#include <array>

namespace chivefront::net {
namespace detail {

constexpr base::Millis kLingerTime{ 500 };
constexpr size_t kReadBytes = 16 * 1024;

} // namespace detail

Task<void>
LingerBeforeClose(boost::beast::tcp_stream& aStream)
{
  boost::system::error_code error;
  aStream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint until = clock.Now() + detail::kLingerTime;
  std::array<char, detail::kReadBytes> dropped{};
  // The stream's own timeout ends only a read that has to wait.
  aStream.expires_after(detail::kLingerTime.ToChrono());
  while (!error && clock.Now() < until) {
    (void)co_await aStream.async_read_some(
      asio::buffer(dropped), asio::redirect_error(asio::use_awaitable, error));
  }
}

} // namespace chivefront::net
