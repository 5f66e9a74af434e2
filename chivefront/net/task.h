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

// Starts a coroutine that nobody waits for. An exception that leaves it is
// logged under aPart and ends only this coroutine.
void
Spawn(const asio::any_io_executor& aExecutor,
      std::string_view aPart,
      std::function<Task<void>()> aBody);

// Suspends the calling coroutine.
Task<void>
Sleep(base::Millis aSpan);

// Suspends the calling coroutine until the function that aStart receives is
// called with a value, on any thread.
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
    boost::system::error_code ignored; // the cancellation is the signal
    co_await wake->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return std::move(**slot);
}

// Calls aStep every aPeriod until it returns false. The first call is
// immediate.
void
SpawnPeriodic(const asio::any_io_executor& aExecutor,
              std::string_view aPart,
              base::Millis aPeriod,
              std::function<Task<bool>()> aStep);

} // namespace chivefront::net
