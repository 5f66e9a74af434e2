// Test fixture of the agent: an agent, a scripted control process, fake
// upstreams, and the link of an entry, all in one process over loopback.
#pragma once

#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

#include "chivefront/agent/agent.h"
#include "chivefront/base/ids.h"
#include "fakes/control_stub.h"

namespace chivefront::agent::testing {

// What the entry received for one attempt.
struct ReceivedAnswer
{
  bool m_started = false;
  std::optional<wire::RejectedT> m_rejected;
  std::optional<wire::EndT> m_end;
  std::string m_bytes;
  uint32_t m_chunks = 0;
  bool m_outOfOrder = false;
};

class AgentFixture
{
public:
  AgentFixture();
  ~AgentFixture();

  net::asio::io_context& Context() { return m_context; }
  Agent& AgentUnderTest() { return *m_agent; }
  fakes::ControlStub& Control() { return *m_control; }
  base::Metrics& Metrics() { return m_metrics; }

  // Starts a fake upstream, which lives until the threads of the fixture have
  // ended, and waits until the agent knows it.
  template<typename FakeT, typename OptionsT>
  FakeT& AddFake(OptionsT aOptions)
  {
    aOptions.m_agent = m_agent->UpstreamEndpoint();
    const std::string name = aOptions.m_name;
    auto fake = std::make_shared<FakeT>(m_context, std::move(aOptions));
    m_fakes.push_back(fake);
    (void)fake->Start();
    WaitAnnounced(name);
    return *fake;
  }

  // A dispatch of team "sales" to aUpstream: streamed, in the paying class,
  // with the full credit window.
  static wire::DispatchT ChatDispatch(const std::string& aId,
                                      const std::string& aUpstream,
                                      uint32_t aTokens = 20,
                                      const std::string& aPrompt = "hello");
  static wire::DispatchT BookingDispatch(const std::string& aId,
                                         const std::string& aUpstream);

  template<typename BodyT>
  void Send(BodyT aBody)
  {
    (void)Link()->Send(wire::MakeMessage(std::move(aBody)));
  }
  // The current link of the entry. Waits until it is open.
  net::Link::Pointer Link();
  // Closes the entry's link; the connector then opens a new one.
  void CloseLink();
  // Closes the entry's link for good.
  void StopEntry() { m_connector->Stop(); }
  // Returns the credit of each chunk at once, like an entry with a fast caller.
  void SetAutoCredit(bool aOn) { m_autoCredit = aOn; }
  // Reports each result as settled as soon as it arrives.
  void SetAutoSettle(bool aOn) { m_autoSettle = aOn; }

  // Waits until aDone holds for what was received for aId, or for 20 s, and
  // returns what was received.
  ReceivedAnswer WaitFor(
    const std::string& aId,
    const std::function<bool(const ReceivedAnswer&)>& aDone);
  void ClearReceived(const std::string& aId)
  {
    const std::lock_guard lock(m_lock);
    m_received.erase(aId);
  }
  // Waits for End or Rejected.
  ReceivedAnswer WaitEnd(const std::string& aId);
  // Waits until aDone holds. False when it did not within 20 s.
  static bool Eventually(const std::function<bool()>& aDone);
  // Waits until the agent has a fresh view and aUpstream is present.
  void WaitAnnounced(const std::string& aUpstream);

  template<typename T>
  T Await(std::function<net::Task<T>()> aBody)
  {
    std::promise<T> promise;
    net::Spawn(m_context.get_executor(), "test", [&]() -> net::Task<void> {
      return Fulfil(aBody, promise);
    });
    return promise.get_future().get();
  }
  // Sends an HTTP request to a fake or to the agent and returns the body of the
  // response.
  std::string Http(const base::Endpoint& aEndpoint,
                   const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aBody = {});

private:
  template<typename T>
  static net::Task<void> Fulfil(std::function<net::Task<T>()>& aBody,
                                std::promise<T>& aPromise)
  {
    aPromise.set_value(co_await aBody());
  }
  void OnMessage(const net::Link::Pointer& aLink, wire::MessageT aMessage);

  net::asio::io_context m_context;
  net::asio::executor_work_guard<net::asio::io_context::executor_type>
    m_workGuard;
  net::LinkIdentity m_agentIdentity;
  net::LinkIdentity m_entryIdentity;
  net::LinkIdentity m_controlIdentity;
  base::EventLog m_events{ "agent-1", "", 1000 };
  base::Metrics m_metrics;
  std::unique_ptr<fakes::ControlStub> m_control;
  std::unique_ptr<Agent> m_agent;
  std::vector<std::shared_ptr<void>> m_fakes;
  std::shared_ptr<net::LinkConnector> m_connector;
  std::atomic<bool> m_autoCredit{ true };
  std::atomic<bool> m_autoSettle{ true };

  std::mutex m_lock;
  std::condition_variable m_changed;
  std::map<std::string, ReceivedAnswer> m_received; // guarded by m_lock
  std::vector<std::thread> m_threads;
};

} // namespace chivefront::agent::testing
