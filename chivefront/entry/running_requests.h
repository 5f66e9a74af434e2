// The requests that run now, and how messages from agents reach them.
//
// Running requests are kept in shards, each under its own lock. A request has
// one attempt at a time; its coroutine waits at the attempt's mailbox, into
// which the links' strands put events.
#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/net/link.h"
#include "chivefront/net/task.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::entry {

struct LinkDown
{
  net::Link::Pointer m_link;
};
struct LinkUp
{
  net::Link::Pointer m_link;
};
// Chunks of an answer that follow each other, joined: engines send a token a
// chunk, and kept one by one a small chunk takes several times its size.
struct ChunkBatch
{
  uint32_t m_attempt = 0;
  uint32_t m_first = 0; // sequence number of the first
  uint32_t m_count = 1;
  std::string m_data;
};
// The agent sent more than the mailbox may hold.
struct MailboxOverflow
{};

using AttemptEvent = std::variant<wire::RejectedT,
                                  wire::StartedT,
                                  ChunkBatch,
                                  wire::EndT,
                                  LinkDown,
                                  LinkUp,
                                  MailboxOverflow>;

// Push from any thread; Next on the executor given at construction.
class Mailbox : public std::enable_shared_from_this<Mailbox>
{
public:
  Mailbox(const net::asio::any_io_executor& aExecutor, size_t aMaxBytes)
    : m_timer(aExecutor)
    , m_maxBytes(aMaxBytes)
  {
  }

  void Push(AttemptEvent aEvent);
  // The next event, or nothing when aUntil passes first.
  net::Task<std::optional<AttemptEvent>> Next(base::TimePoint aUntil);
  // From now on chunks are kept one by one. Called when a stream is asked for
  // again, so that joined chunks are never partly repeated ones.
  void StopCoalescing();

private:
  std::optional<AttemptEvent> Pop();
  bool CoalesceWithLast(const AttemptEvent& aEvent);

  net::asio::steady_timer m_timer;
  const size_t m_maxBytes;
  std::mutex m_lock;
  std::deque<AttemptEvent> m_events; // guarded by m_lock
  bool m_coalescing = true;
  size_t m_bytes = 0; // of chunks in m_events, <= m_maxBytes
};

struct RunningAttempt
{
  std::string m_requestId;
  uint32_t m_attempt = 0;
  std::string m_agentAddress;
  std::string m_upstream;
  uint64_t m_fingerprint = 0;
  std::shared_ptr<Mailbox> m_mailbox;
};

class RunningRequests
{
public:
  // Replaces an earlier attempt of the same request.
  void Add(RunningAttempt aAttempt);
  void Remove(const std::string& aRequestId);

  // False when no such attempt runs; the message is dropped then.
  bool Deliver(const std::string& aRequestId,
               uint32_t aAttempt,
               AttemptEvent aEvent);
  // Tells every attempt at an agent that its link changed.
  void NotifyAgent(const std::string& aAgentAddress, const LinkDown& aEvent);
  void NotifyAgent(const std::string& aAgentAddress, const LinkUp& aEvent);

  std::vector<RunningAttempt> AttemptsAtAgent(
    const std::string& aAgentAddress) const;
  size_t CountAtUpstream(const std::string& aUpstream) const;
  size_t Size() const;

private:
  static constexpr size_t kShards = 16;
  struct Shard
  {
    mutable std::mutex m_lock;
    std::unordered_map<std::string, RunningAttempt> m_attempts;
    std::unordered_map<std::string, size_t> m_countByUpstream; // no zero counts
  };

  Shard& ShardOf(const std::string& aRequestId);
  static void RemoveLocked(Shard& aShard, const std::string& aRequestId);

  std::array<Shard, kShards> m_shards;
};

} // namespace chivefront::entry
