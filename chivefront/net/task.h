// Small coroutine helpers on top of Asio.
#pragma once

#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

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

// Calls aStep every aPeriod until it returns false. The first call is
// immediate.
void
SpawnPeriodic(const asio::any_io_executor& aExecutor,
              std::string_view aPart,
              base::Millis aPeriod,
              std::function<Task<bool>()> aStep);

} // namespace chivefront::net
