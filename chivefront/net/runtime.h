// The event loop threads of one process and its handling of signals.
//
//   net::Runtime runtime(threads);
//   runtime.OnShutdown([&] { ... begin a graceful shutdown ... });
//   runtime.Run();        // returns after Stop()
//
// The first SIGTERM or SIGINT starts the graceful shutdown. Further signals are
// logged and ignored, so that an operator who repeats the signal does not
// interrupt requests.
#pragma once

#include <functional>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace chivefront::net {

namespace asio = boost::asio;

class Runtime
{
public:
  explicit Runtime(int aThreads);

  asio::io_context& Context() { return m_context; }
  asio::any_io_executor Executor() { return m_context.get_executor(); }

  // Sets the handler of the first shutdown signal. Without a handler, the
  // signal calls Stop().
  void OnShutdown(std::function<void()> aHandler);
  // Runs the event loop on all threads until Stop().
  void Run();
  void Stop() { m_context.stop(); }

private:
  void WaitForSignal();

  const int m_threads;
  asio::io_context m_context;
  asio::signal_set m_signals;
  std::function<void()> m_onShutdown;
  bool m_shuttingDown = false;
};

} // namespace chivefront::net
