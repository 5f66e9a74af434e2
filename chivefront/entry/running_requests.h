// The requests in flight, and the delivery of agents' messages to them.
//
// The requests are kept in shards, each with its own lock. A request has one
// attempt at a time. The coroutine of the request waits on the mailbox of the
// attempt; the strands of the agent links push events into that mailbox.
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

// The link to the agent closed.
struct LinkDown
{
  net::Link::Pointer m_link;
};
// A new link to the agent opened.
struct LinkUp
{
  net::Link::Pointer m_link;
};
// Consecutive chunks of an answer, coalesced into one event. Engines send one
// token in a chunk, and an event of its own for each small chunk would take
// several times the memory of its data.
struct ChunkBatch
{
  uint32_t m_attempt = 0;
  uint32_t m_first = 0; // sequence number of the first chunk
  uint32_t m_count = 1; // chunks in m_data
  std::string m_data;
};
// The agent sent more data than the mailbox may hold.
struct MailboxOverflow
{};

using AttemptEvent = std::variant<wire::RejectedT,
                                  wire::StartedT,
                                  ChunkBatch,
                                  wire::EndT,
                                  LinkDown,
                                  LinkUp,
                                  MailboxOverflow>;

// The events of one attempt, in order. Push may be called on any thread, Next
// only on the executor given at construction, which must be a strand.
class Mailbox : public std::enable_shared_from_this<Mailbox>
{
public:
  Mailbox(const net::asio::any_io_executor& aExecutor, size_t aMaxBytes)
    : m_timer(aExecutor)
    , m_maxBytes(aMaxBytes)
  {
  }

  void Push(AttemptEvent aEvent);
  // Waits for the next event; returns nothing when aUntil passes first.
  net::Task<std::optional<AttemptEvent>> Next(base::TimePoint aUntil);
  // Keeps every later chunk as an event of its own. Called before a Resume,
  // because a batch that mixes repeated and new chunks could not be dropped or
  // accepted as a whole.
  void StopCoalescing();

private:
  std::optional<AttemptEvent> Pop();
  bool CoalesceWithLast(const AttemptEvent& aEvent);

  net::asio::steady_timer m_timer;
  const size_t m_maxBytes;
  std::mutex m_lock;
  // Guarded by m_lock:
  std::deque<AttemptEvent> m_events;
  bool m_coalescing = true;
  size_t m_bytes = 0; // chunk data in m_events; at most m_maxBytes
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

  // Pushes aEvent into the mailbox of the attempt. Returns false and drops
  // aEvent when that attempt does not run.
  bool Deliver(const std::string& aRequestId,
               uint32_t aAttempt,
               AttemptEvent aEvent);
  // Pushes a change of an agent's link to every attempt at that agent.
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
    std::unordered_map<std::string, RunningAttempt> m_attempts; // by request id
    // Attempts in m_attempts by upstream; entries with count 0 are removed.
    std::unordered_map<std::string, size_t> m_countByUpstream;
  };

  Shard& ShardOf(const std::string& aRequestId);
  // Requires that aShard.m_lock is held.
  static void RemoveLocked(Shard& aShard, const std::string& aRequestId);

  std::array<Shard, kShards> m_shards;
};

} // namespace chivefront::entry
