// Runs the event loop threads and handles signals.
#include "chivefront/net/runtime.h"

#include <csignal>

#include "chivefront/base/log.h"

namespace chivefront::net {

Runtime::Runtime(int aThreads)
  : m_threads(aThreads)
  , m_context(aThreads)
  , m_signals(m_context, SIGTERM, SIGINT)
{
}

void
Runtime::OnShutdown(std::function<void()> aHandler)
{
  m_onShutdown = std::move(aHandler);
}

void
Runtime::WaitForSignal()
{
  m_signals.async_wait(
    [this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (m_shuttingDown) {
        base::LogInfo("runtime",
                      "shutdown already in progress, signal ignored",
                      { { "signal", aSignal } });
      } else {
        m_shuttingDown = true;
        base::LogInfo("runtime", "shutting down", { { "signal", aSignal } });
        if (m_onShutdown) {
          m_onShutdown();
        } else {
          Stop();
        }
      }
      WaitForSignal();
    });
}

namespace detail {

// Blocks SIGTERM and SIGINT for the rest of the process. The default action of
// a signal that arrives during destruction, after a graceful shutdown, would
// end the process with a failure.
void
BlockShutdownSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace detail

void
Runtime::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  WaitForSignal();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(m_threads));
  for (int i = 1; i < m_threads; ++i) {
    threads.emplace_back([this] { m_context.run(); });
  }
  m_context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  detail::BlockShutdownSignals();
}

} // namespace chivefront::net
