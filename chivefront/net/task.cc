// Starts coroutines and timers.
#include "chivefront/net/task.h"

#include <exception>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chivefront/base/log.h"

namespace chivefront::net {
namespace detail {

Task<void>
RunPeriodic(base::Millis aPeriod, std::function<Task<bool>()> aStep)
{
  // GCC 12 corrupts the coroutine frame when the condition of a loop contains
  // co_await.
  while (true) {
    const bool again = co_await aStep();
    if (!again) {
      co_return;
    }
    co_await Sleep(aPeriod);
  }
}

// Keeps aBody alive until its coroutine ends, because a coroutine made by a
// lambda refers to its captures through the lambda object.
Task<void>
RunOwned(std::function<Task<void>()> aBody)
{
  co_await aBody();
}

} // namespace detail

void
Spawn(const asio::any_io_executor& aExecutor,
      std::string_view aComponent,
      std::function<Task<void>()> aBody)
{
  asio::co_spawn(
    aExecutor,
    detail::RunOwned(std::move(aBody)),
    [component = std::string(aComponent)](const std::exception_ptr& aError) {
      if (!aError) {
        return;
      }
      try {
        std::rethrow_exception(aError);
      } catch (const std::exception& error) {
        base::LogError(component,
                       "coroutine ended with an exception",
                       { { "what", error.what() } });
      }
    });
}

Task<void>
Sleep(base::Millis aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(aDuration.ToChrono());
  co_await timer.async_wait(asio::use_awaitable);
}

void
SpawnPeriodic(const asio::any_io_executor& aExecutor,
              std::string_view aComponent,
              base::Millis aPeriod,
              std::function<Task<bool>()> aStep)
{
  Spawn(
    aExecutor, aComponent, [aPeriod, step = std::move(aStep)]() -> Task<void> {
      return detail::RunPeriodic(aPeriod, step);
    });
}

} // namespace chivefront::net
