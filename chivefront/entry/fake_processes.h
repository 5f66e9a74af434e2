// Fake control process and fake agents for tests of an entry, with the messages
// that they send. They run on loopback in the process of the test.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "chivefront/entry/core.h"

namespace chivefront::entry::testing {

inline const base::Endpoint kAnyPort{ "127.0.0.1", 0 };
// An agent keeps a finished run until its entry settles it, and posts the bill
// itself when the entry has been gone for this long.
inline constexpr base::Millis kSettlementBound{ 5000 };

inline net::LinkIdentity
Identity(wire::Role aRole, const std::string& aName, uint64_t aIncarnation)
{
  net::LinkIdentity identity;
  identity.m_role = aRole;
  identity.m_cluster = "test";
  identity.m_process = aName;
  identity.m_failureDomain = "a";
  identity.m_secret = "test-secret";
  identity.m_incarnation = aIncarnation;
  return identity;
}

// An event loop that runs on three threads until it is stopped.
class EventLoop
{
public:
  EventLoop()
    : m_guard(net::asio::make_work_guard(m_context))
  {
    for (int i = 0; i < 3; ++i) {
      m_threads.emplace_back([this] { m_context.run(); });
    }
  }
  ~EventLoop() { Stop(); }
  void Stop()
  {
    m_context.stop();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }
  net::asio::io_context& Context() { return m_context; }

private:
  net::asio::io_context m_context;
  net::asio::executor_work_guard<net::asio::io_context::executor_type> m_guard;
  std::vector<std::thread> m_threads;
};

// A configuration with one paying team, two models and one plain service.
inline catalog::Entries
SampleEntries()
{
  const std::string free = R"({"owner":"ops","class":"free",)";
  const auto model = [&](const std::string& aVersion, int aRank) {
    return free + R"("version":")" + aVersion + R"(","rank":)" +
           std::to_string(aRank) + R"(,"limits":{"concurrency":100}})";
  };
  const auto version = [&](const std::string& aModel, int aCost) {
    return free + R"("model":")" + aModel + R"(","prompt_cost":)" +
           std::to_string(aCost) + R"(,"answer_cost":)" +
           std::to_string(aCost) + R"(,"limits":{"answer_tokens":100}})";
  };
  return {
    { "team/sales",
      R"({"owner":"ops","class":"paying","key_hashes":[")" +
        base::Sha256Hex("sales-key") +
        R"("],"models":["small","large"],"services":["booking"],"limits":{)"
        R"("requests_per_second":1000,"concurrency":100,)"
        R"("tokens_per_minute":1000000}})" },
    { "model/small", model("small-1", 1) },
    { "model/large", model("large-1", 2) },
    { "version/small-1", version("small", 1000) },
    { "version/small-2", version("small", 1000) },
    { "version/large-1", version("large", 9000) },
    { "service/booking",
      free + R"("idempotent_methods":["GET"],"limits":{"concurrency":10}})" },
  };
}

// A control process that answers watch and ledger requests from memory.
class FakeControl
{
public:
  explicit FakeControl(net::asio::io_context& aContext)
    : m_identity(Identity(wire::Role::Control, "control-1", 1))
    , m_server(aContext, m_identity, Handlers())
  {
    (void)m_server.Listen(kAnyPort);
  }
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }

  // Calls aChange with the state locked, and then serves a new revision.
  void Change(const std::function<void(FakeControl&)>& aChange)
  {
    const std::lock_guard lock(m_lock);
    aChange(*this);
    ++m_revision;
  }
  size_t BillLines() const
  {
    const std::lock_guard lock(m_lock);
    return m_bills.size();
  }

  // The served state, guarded by m_lock; modified with Change.
  catalog::Entries m_entries = SampleEntries();
  std::vector<wire::UpstreamInfoT> m_upstreams;
  std::vector<uint64_t> m_suspects;
  bool m_fresh = true;
  bool m_acceptsBills = true;
  std::map<std::string, std::string> m_pins;
  std::map<std::string, wire::FinishClaimT> m_finished;
  std::map<std::string, std::string> m_claimOwners;
  std::map<std::string, wire::BillLineT> m_bills; // by "<request>/<run>"
  std::vector<wire::ReportLossT> m_losses;

private:
  net::Link::Handlers Handlers()
  {
    net::Link::Handlers handlers;
    handlers.m_onOpen = [](const net::Link::Pointer&) {};
    handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
    handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                  wire::MessageT aMessage) {
      const std::lock_guard lock(m_lock);
      if (const auto* watch = aMessage.body.AsWatchRequest()) {
        (void)aLink->Reply(aMessage.correlation, OnWatch(*watch));
      } else if (auto* ledger = aMessage.body.AsLedgerRequest()) {
        (void)aLink->Reply(aMessage.correlation, OnLedger(*ledger));
      }
    };
    return handlers;
  }

  wire::WatchReplyT OnWatch(const wire::WatchRequestT& aRequest)
  {
    wire::WatchReplyT reply;
    reply.fresh = m_fresh;
    reply.revision = m_revision;
    reply.live_entries = 1;
    reply.registry_epoch = 1;
    reply.registry_sequence = m_revision;
    reply.suspects = m_suspects;
    if (aRequest.have_revision == m_revision) {
      return reply;
    }
    reply.snapshot = true;
    reply.registry_snapshot = true;
    for (const auto& [key, value] : m_entries) {
      auto entry = std::make_unique<wire::ConfigEntryT>();
      entry->key = key;
      entry->value = value;
      reply.entries.push_back(std::move(entry));
    }
    for (const auto& upstream : m_upstreams) {
      reply.upstreams.push_back(
        std::make_unique<wire::UpstreamInfoT>(upstream));
    }
    return reply;
  }

  wire::LedgerReplyT OnLedger(wire::LedgerRequestT& aRequest)
  {
    wire::LedgerReplyT reply;
    reply.ok = true;
    if (const auto* pin = aRequest.command.AsPinSession()) {
      reply.version =
        m_pins.emplace(pin->team + "/" + pin->session, pin->version)
          .first->second;
    } else if (const auto* claim = aRequest.command.AsClaimRequest()) {
      OnClaim(*claim, reply);
    } else if (const auto* finish = aRequest.command.AsFinishClaim()) {
      if (finish->state == wire::ClaimState::Released) {
        m_claimOwners.erase(finish->key);
      } else {
        m_finished[finish->key] = *finish;
      }
    } else if (const auto* bill = aRequest.command.AsPostBill()) {
      reply.ok = m_acceptsBills;
      for (const auto& line : bill->lines) {
        if (m_acceptsBills) {
          m_bills.emplace(line->request_id + "/" + std::to_string(line->run),
                          *line);
        }
      }
    } else if (const auto* loss = aRequest.command.AsReportLoss()) {
      m_losses.push_back(*loss);
    }
    return reply;
  }

  void OnClaim(const wire::ClaimRequestT& aClaim, wire::LedgerReplyT& aReply)
  {
    const auto finished = m_finished.find(aClaim.key);
    if (finished != m_finished.end()) {
      aReply.claim = finished->second.state;
      aReply.http_status = finished->second.http_status;
      aReply.content_type = finished->second.content_type;
      aReply.body = finished->second.body;
      return;
    }
    const auto [holder, added] =
      m_claimOwners.emplace(aClaim.key, aClaim.owner);
    aReply.claim = added || holder->second == aClaim.owner
                     ? wire::ClaimState::Granted
                     : wire::ClaimState::InProgress;
  }

  mutable std::mutex m_lock;
  uint64_t m_revision = 1;
  const net::LinkIdentity m_identity;
  net::LinkServer m_server;
};

// An agent that passes each message it receives to a handler.
class FakeAgent
{
public:
  using MessageHandler = std::function<void(net::Link&, wire::MessageT&)>;

  FakeAgent(net::asio::io_context& aContext,
            const std::string& aName,
            uint64_t aIncarnation,
            MessageHandler aHandler,
            const base::Endpoint& aEndpoint = kAnyPort)
    : m_identity(Identity(wire::Role::Agent, aName, aIncarnation))
    , m_handler(std::move(aHandler))
    , m_server(aContext, m_identity, Handlers())
  {
    m_listening = m_server.Listen(aEndpoint).ok();
  }
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }
  bool Listening() const { return m_listening; }
  void Stop() { m_server.Stop(); }

  wire::UpstreamInfoT Upstream(const std::string& aName,
                               const std::string& aVersion,
                               const std::string& aService = {}) const
  {
    wire::UpstreamInfoT info;
    info.name = aName;
    info.agent = m_identity.m_process;
    info.agent_address = BoundEndpoint().ToString();
    info.failure_domain = "a";
    info.kind =
      aService.empty() ? wire::UpstreamKind::Model : wire::UpstreamKind::Plain;
    info.version = aVersion;
    info.service = aService;
    info.limit = 1000;
    return info;
  }

  // The number of messages of this type that the agent has received.
  size_t Count(wire::Body aType) const
  {
    const std::lock_guard lock(m_lock);
    const auto found = m_counts.find(aType);
    return found == m_counts.end() ? 0 : found->second;
  }

  // Waits until aCount messages of this type have arrived, for at most
  // aTimeout, and returns the number that has arrived by then.
  size_t WaitForCount(wire::Body aType,
                      size_t aCount,
                      base::Millis aTimeout) const
  {
    const auto until = std::chrono::steady_clock::now() + aTimeout.ToChrono();
    while (Count(aType) < aCount && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return Count(aType);
  }

  // The number of runs for which Settled has arrived, once or more often.
  size_t SettledRuns() const
  {
    const std::lock_guard lock(m_lock);
    return m_settled.size();
  }

private:
  void Record(const wire::MessageT& aMessage)
  {
    const std::lock_guard lock(m_lock);
    ++m_counts[aMessage.body.type];
    if (const auto* settled = aMessage.body.AsSettled()) {
      m_settled.insert({ settled->request_id, settled->run });
    }
  }

  net::Link::Handlers Handlers()
  {
    net::Link::Handlers handlers;
    handlers.m_onOpen = [](const net::Link::Pointer&) {};
    handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
    handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                  wire::MessageT aMessage) {
      Record(aMessage);
      m_handler(*aLink, aMessage);
    };
    return handlers;
  }

  const net::LinkIdentity m_identity;
  const MessageHandler m_handler;
  mutable std::mutex m_lock;
  std::map<wire::Body, size_t> m_counts;
  // Request and run of each Settled message.
  std::set<std::pair<std::string, uint32_t>> m_settled;
  bool m_listening = false;
  net::LinkServer m_server;
};

// --- Messages of agents ----------------------------------------------------

inline void
SendChunk(net::Link& aLink,
          const std::string& aRequest,
          uint32_t aAttempt,
          uint32_t aSequence,
          std::string aData)
{
  wire::ChunkT chunk;
  chunk.request_id = aRequest;
  chunk.attempt = aAttempt;
  chunk.sequence = aSequence;
  chunk.data = std::move(aData);
  (void)aLink.Send(wire::MakeMessage(std::move(chunk)));
}

inline void
SendEnd(net::Link& aLink,
        const std::string& aRequest,
        uint32_t aAttempt,
        uint32_t aChunkCount,
        wire::Outcome aOutcome = wire::Outcome::Done)
{
  wire::EndT end;
  end.request_id = aRequest;
  end.attempt = aAttempt;
  end.chunks = aChunkCount;
  end.outcome = aOutcome;
  end.http_status = 200;
  end.content_type = "application/json";
  end.prompt_tokens = 3;
  end.answer_tokens = aOutcome == wire::Outcome::Done ? 2 : 0;
  (void)aLink.Send(wire::MakeMessage(std::move(end)));
}

inline void
SendRejected(net::Link& aLink, const wire::DispatchT& aDispatch)
{
  wire::RejectedT rejected;
  rejected.request_id = aDispatch.request_id;
  rejected.attempt = aDispatch.attempt;
  rejected.kind = "overloaded";
  rejected.message = "the upstream is full";
  (void)aLink.Send(wire::MakeMessage(std::move(rejected)));
}

// Sends a whole answer of two chunks, each of which is one server-sent event.
inline void
SendWholeAnswer(net::Link& aLink, const wire::DispatchT& aDispatch)
{
  const std::string& id = aDispatch.request_id;
  SendChunk(aLink, id, aDispatch.attempt, 0, "data: {\"part\":1}\n\n");
  SendChunk(aLink, id, aDispatch.attempt, 1, "data: {\"part\":2}\n\n");
  SendEnd(aLink, id, aDispatch.attempt, 2);
}

// Holds back the answers to dispatches until ReleaseAll, and answers later
// dispatches at once.
class DelayedAnswers
{
public:
  void OnMessage(net::Link& aLink, wire::MessageT& aMessage)
  {
    const auto* dispatch = aMessage.body.AsDispatch();
    if (dispatch == nullptr) {
      return;
    }
    const std::lock_guard lock(m_lock);
    ++m_count;
    if (m_released) {
      SendWholeAnswer(aLink, *dispatch);
    } else {
      m_held.emplace_back(aLink.shared_from_this(), *dispatch);
    }
  }
  void ReleaseAll()
  {
    const std::lock_guard lock(m_lock);
    m_released = true;
    for (const auto& [link, dispatch] : m_held) {
      SendWholeAnswer(*link, dispatch);
    }
    m_held.clear();
  }
  // The number of dispatches received.
  size_t Count() const
  {
    const std::lock_guard lock(m_lock);
    return m_count;
  }
  void WaitForDispatches(size_t aCount) const
  {
    while (Count() < aCount) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

private:
  mutable std::mutex m_lock;
  std::vector<std::pair<net::Link::Pointer, wire::DispatchT>> m_held;
  size_t m_count = 0;
  bool m_released = false;
};

} // namespace chivefront::entry::testing
