// Chunks, credit and resumption of one answer.
#include "chivefront/agent/stream_buffer.h"

#include <algorithm>

namespace chivefront::agent {
namespace detail {

// Small enough that one chunk never fills a reader's whole window.
constexpr size_t kMaxChunkBytes = 16 * 1024;

} // namespace detail

StreamBuffer::StreamBuffer(uint32_t aWindow)
  : m_window(aWindow == 0 ? kDefaultWindow : std::min(aWindow, kMaxWindow))
  , m_credit(m_window)
{
}

void
StreamBuffer::Append(std::string_view aData)
{
  m_pending += aData;
}

std::optional<StreamChunk>
StreamBuffer::TakeChunk()
{
  if (m_credit <= 0) {
    return std::nullopt;
  }
  if (m_next == Chunks()) {
    if (m_pending.empty()) {
      return std::nullopt;
    }
    const size_t size = std::min({ m_pending.size(),
                                   static_cast<size_t>(m_credit),
                                   detail::kMaxChunkBytes });
    m_cut += size;
    m_keptBytes += size;
    m_kept.push_back({ m_cut, m_pending.substr(0, size) });
    m_pending.erase(0, size);
  }
  StreamChunk chunk{ m_next, m_kept[m_next - m_firstKept].m_data };
  m_credit -= static_cast<int64_t>(chunk.m_data.size());
  m_sent += chunk.m_data.size();
  ++m_next;
  return chunk;
}

void
StreamBuffer::AddCredit(uint32_t aBytes)
{
  m_credit = std::min<int64_t>(m_credit + aBytes, m_window);
  DropConsumed();
}

void
StreamBuffer::DropConsumed()
{
  const int64_t unconsumed = static_cast<int64_t>(m_window) - m_credit;
  const int64_t consumed = static_cast<int64_t>(m_sent) - unconsumed;
  while (!m_kept.empty() && m_firstKept < m_next &&
         static_cast<int64_t>(m_kept.front().m_end) <= consumed) {
    m_keptBytes -= m_kept.front().m_data.size();
    m_kept.pop_front();
    ++m_firstKept;
  }
}

uint64_t
StreamBuffer::StartOf(uint32_t aSequence) const
{
  if (aSequence == Chunks()) {
    return m_cut;
  }
  const Kept& kept = m_kept[aSequence - m_firstKept];
  return kept.m_end - kept.m_data.size();
}

bool
StreamBuffer::Resume(uint32_t aNextSequence, uint32_t aCredit)
{
  if (aNextSequence < m_firstKept || aNextSequence > Chunks()) {
    return false;
  }
  m_sent = StartOf(aNextSequence);
  m_next = aNextSequence;
  m_credit = std::min(aCredit, m_window);
  while (m_firstKept < aNextSequence) {
    m_keptBytes -= m_kept.front().m_data.size();
    m_kept.pop_front();
    ++m_firstKept;
  }
  return true;
}

} // namespace chivefront::agent
