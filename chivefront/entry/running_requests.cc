// Mailboxes of attempts, and the shards of running requests.
#include "chivefront/entry/running_requests.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chivefront::entry {
namespace detail {

size_t
BytesOf(const AttemptEvent& aEvent)
{
  const auto* chunks = std::get_if<ChunkBatch>(&aEvent);
  return chunks == nullptr ? 0 : chunks->m_data.size();
}

} // namespace detail

bool
Mailbox::CoalesceWithLast(const AttemptEvent& aEvent)
{
  const auto* next = std::get_if<ChunkBatch>(&aEvent);
  auto* last =
    m_events.empty() ? nullptr : std::get_if<ChunkBatch>(&m_events.back());
  if (!m_coalescing || next == nullptr || last == nullptr ||
      last->m_attempt != next->m_attempt ||
      last->m_first + last->m_count != next->m_first) {
    return false;
  }
  last->m_data += next->m_data;
  last->m_count += next->m_count;
  return true;
}

void
Mailbox::StopCoalescing()
{
  const std::lock_guard lock(m_lock);
  m_coalescing = false;
}

void
Mailbox::Push(AttemptEvent aEvent)
{
  {
    const std::lock_guard lock(m_lock);
    const size_t bytes = detail::BytesOf(aEvent);
    if (m_bytes + bytes > m_maxBytes) {
      m_events.emplace_back(MailboxOverflow{});
    } else {
      m_bytes += bytes;
      if (!CoalesceWithLast(aEvent)) {
        m_events.push_back(std::move(aEvent));
      }
    }
  }
  // No wake-up is lost: the handler and the waiting coroutine run on the same
  // strand, so the handler runs only while the coroutine is suspended.
  net::asio::post(m_timer.get_executor(),
                  [self = shared_from_this()] { self->m_timer.cancel(); });
}

std::optional<AttemptEvent>
Mailbox::Pop()
{
  const std::lock_guard lock(m_lock);
  if (m_events.empty()) {
    return std::nullopt;
  }
  AttemptEvent event = std::move(m_events.front());
  m_events.pop_front();
  m_bytes -= detail::BytesOf(event);
  return event;
}

net::Task<std::optional<AttemptEvent>>
Mailbox::Next(base::TimePoint aUntil)
{
  const base::Clock& clock = base::SteadyClock::Instance();
  while (true) {
    std::optional<AttemptEvent> event = Pop();
    const base::Millis left = aUntil - clock.Now();
    if (event || left <= base::Millis(0)) {
      co_return event;
    }
    m_timer.expires_after(left.ToChrono());
    boost::system::error_code canceled;
    co_await m_timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, canceled));
  }
}

RunningRequests::Shard&
RunningRequests::ShardOf(const std::string& aRequestId)
{
  return m_shards[std::hash<std::string>()(aRequestId) % kShards];
}

void
RunningRequests::RemoveLocked(Shard& aShard, const std::string& aRequestId)
{
  const auto found = aShard.m_attempts.find(aRequestId);
  if (found == aShard.m_attempts.end()) {
    return;
  }
  const auto count = aShard.m_countByUpstream.find(found->second.m_upstream);
  if (--count->second == 0) {
    aShard.m_countByUpstream.erase(count);
  }
  aShard.m_attempts.erase(found);
}

void
RunningRequests::Add(RunningAttempt aAttempt)
{
  Shard& shard = ShardOf(aAttempt.m_requestId);
  const std::lock_guard lock(shard.m_lock);
  RemoveLocked(shard, aAttempt.m_requestId);
  ++shard.m_countByUpstream[aAttempt.m_upstream];
  const std::string id = aAttempt.m_requestId;
  shard.m_attempts.emplace(id, std::move(aAttempt));
}

void
RunningRequests::Remove(const std::string& aRequestId)
{
  Shard& shard = ShardOf(aRequestId);
  const std::lock_guard lock(shard.m_lock);
  RemoveLocked(shard, aRequestId);
}

bool
RunningRequests::Deliver(const std::string& aRequestId,
                         uint32_t aAttempt,
                         AttemptEvent aEvent)
{
  Shard& shard = ShardOf(aRequestId);
  const std::lock_guard lock(shard.m_lock);
  const auto found = shard.m_attempts.find(aRequestId);
  if (found == shard.m_attempts.end() || found->second.m_attempt != aAttempt) {
    return false;
  }
  found->second.m_mailbox->Push(std::move(aEvent));
  return true;
}

void
RunningRequests::NotifyAgent(const std::string& aAgentAddress,
                             const LinkDown& aEvent)
{
  for (const RunningAttempt& attempt : AttemptsAtAgent(aAgentAddress)) {
    attempt.m_mailbox->Push(aEvent);
  }
}

void
RunningRequests::NotifyAgent(const std::string& aAgentAddress,
                             const LinkUp& aEvent)
{
  for (const RunningAttempt& attempt : AttemptsAtAgent(aAgentAddress)) {
    attempt.m_mailbox->Push(aEvent);
  }
}

std::vector<RunningAttempt>
RunningRequests::AttemptsAtAgent(const std::string& aAgentAddress) const
{
  std::vector<RunningAttempt> found;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.m_lock);
    for (const auto& [id, attempt] : shard.m_attempts) {
      if (attempt.m_agentAddress == aAgentAddress) {
        found.push_back(attempt);
      }
    }
  }
  return found;
}

size_t
RunningRequests::CountAtUpstream(const std::string& aUpstream) const
{
  size_t count = 0;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.m_lock);
    const auto found = shard.m_countByUpstream.find(aUpstream);
    count += found == shard.m_countByUpstream.end() ? 0 : found->second;
  }
  return count;
}

size_t
RunningRequests::Size() const
{
  size_t count = 0;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.m_lock);
    count += shard.m_attempts.size();
  }
  return count;
}

} // namespace chivefront::entry
