// Coroutine helpers.
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
  // GCC 12 corrupts the frame when the condition of a loop awaits.
  while (true) {
    const bool again = co_await aStep();
    if (!again) {
      co_return;
    }
    co_await Sleep(aPeriod);
  }
}

// The function object must outlive the coroutine it creates, because a lambda
// coroutine refers to its captures through it.
Task<void>
Hold(std::function<Task<void>()> aBody)
{
  co_await aBody();
}

} // namespace detail

void
Spawn(const asio::any_io_executor& aExecutor,
      std::string_view aPart,
      std::function<Task<void>()> aBody)
{
  asio::co_spawn(aExecutor,
                 detail::Hold(std::move(aBody)),
                 [part = std::string(aPart)](const std::exception_ptr& aError) {
                   if (!aError) {
                     return;
                   }
                   try {
                     std::rethrow_exception(aError);
                   } catch (const std::exception& error) {
                     base::LogError(part,
                                    "coroutine ended by exception",
                                    { { "what", error.what() } });
                   }
                 });
}

Task<void>
Sleep(base::Millis aSpan)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(aSpan.ToChrono());
  co_await timer.async_wait(asio::use_awaitable);
}

void
SpawnPeriodic(const asio::any_io_executor& aExecutor,
              std::string_view aPart,
              base::Millis aPeriod,
              std::function<Task<bool>()> aStep)
{
  Spawn(aExecutor, aPart, [aPeriod, step = std::move(aStep)]() -> Task<void> {
    return detail::RunPeriodic(aPeriod, step);
  });
}

} // namespace chivefront::net
