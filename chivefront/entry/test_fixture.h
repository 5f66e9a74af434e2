// Test fixture: an entry connected to a fake control process and fake agents,
// all in one process over loopback. Used by tests only.
#pragma once

#include <future>
#include <utility>

#include "chivefront/base/ids.h"
#include "chivefront/entry/core.h"
#include "chivefront/entry/fake_processes.h"
#include "chivefront/net/http_client.h"

namespace chivefront::entry::testing {

class EntryFixture
{
public:
  explicit EntryFixture(const EntryLimits& aLimits = {},
                        const net::HttpLimits& aHttp = {})
    : m_control(m_loop.Context())
    , m_identity(Identity(wire::Role::Entry, "entry-1", 7))
    , m_core(m_loop.Context(),
             m_identity,
             { m_control.BoundEndpoint() },
             aLimits,
             aHttp,
             m_events,
             m_metrics)
  {
    (void)m_core.Start(kAnyPort);
  }
  ~EntryFixture()
  {
    // No coroutine may run while the members are destroyed.
    m_loop.Stop();
  }

  // Waits up to 10 s until the entry has a fresh view and links to at least
  // aAgents agents.
  bool WaitReady(size_t aAgents)
  {
    for (int i = 0; i < 1000; ++i) {
      if (m_core.Ready() && m_core.Agents().ConnectedCount() >= aAgents) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  absl::StatusOr<net::HttpResponse> Call(net::HttpRequest aRequest)
  {
    std::promise<absl::StatusOr<net::HttpResponse>> promise;
    net::Spawn(
      m_loop.Context().get_executor(), "test", [&]() -> net::Task<void> {
        promise.set_value(co_await net::HttpCall(
          m_core.Callers(), aRequest, net::HttpTimeouts()));
      });
    return promise.get_future().get();
  }

  static net::HttpRequest Chat(bool aStream, const std::string& aSession = {})
  {
    net::HttpRequest request("POST", "/v1/chat/completions");
    request.m_headers = { { "Authorization", "Bearer sales-key" },
                          { "Content-Type", "application/json" } };
    if (!aSession.empty()) {
      request.m_headers.emplace_back("X-Chivefront-Session", aSession);
    }
    request.m_body =
      std::string(R"({"model":"small","messages":[{"role":"user",)") +
      R"("content":"hello"}],"stream":)" + (aStream ? "true}" : "false}");
    return request;
  }
  static net::HttpRequest Booking(const std::string& aKey,
                                  const std::string& aBody = "{}")
  {
    net::HttpRequest request("POST", "/v1/services/booking/orders?x=1");
    request.m_headers = { { "Authorization", "Bearer sales-key" } };
    if (!aKey.empty()) {
      request.m_headers.emplace_back("Idempotency-Key", aKey);
    }
    request.m_body = aBody;
    return request;
  }

  EventLoop m_loop;
  FakeControl m_control;
  const net::LinkIdentity m_identity;
  base::EventLog m_events{ "entry-1", "", 10000 };
  base::Metrics m_metrics;
  EntryCore m_core;
};

} // namespace chivefront::entry::testing
