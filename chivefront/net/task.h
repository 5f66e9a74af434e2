// Small coroutine helpers on top of Asio.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chivefront/base/clock.h"

namespace chivefront::net {

namespace asio = boost::asio;

template<typename T>
using Task = asio::awaitable<T>;

// Starts a coroutine and does not wait for it. An exception that leaves the
// coroutine ends only this coroutine and is logged under the name aComponent.
void
Spawn(const asio::any_io_executor& aExecutor,
      std::string_view aComponent,
      std::function<Task<void>()> aBody);

// Suspends the calling coroutine for aDuration.
Task<void>
Sleep(base::Millis aDuration);

// Calls aStart with a callback and suspends the calling coroutine until that
// callback is called with a value, on any thread. Returns the value.
template<typename T>
Task<T>
AwaitCallback(std::function<void(std::function<void(T)>)> aStart)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto wake = std::make_shared<asio::steady_timer>(
    executor, asio::steady_timer::time_point::max());
  auto slot = std::make_shared<std::optional<T>>();
  aStart([executor, wake, slot](T aValue) {
    auto shared = std::make_shared<T>(std::move(aValue));
    asio::post(executor, [wake, slot, shared] {
      slot->emplace(std::move(*shared));
      wake->cancel();
    });
  });
  while (!slot->has_value()) {
    boost::system::error_code ignored; // set by cancel(), which ends the wait
    co_await wake->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return std::move(**slot);
}

// Calls aStep until it returns false, with a pause of aPeriod after each call.
// The first call is immediate.
void
SpawnPeriodic(const asio::any_io_executor& aExecutor,
              std::string_view aComponent,
              base::Millis aPeriod,
              std::function<Task<bool>()> aStep);

} // namespace chivefront::net
