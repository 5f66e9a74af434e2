// Implements chunks, credit and resumption of one answer.
#include "chivefront/agent/stream_buffer.h"

#include <algorithm>

namespace chivefront::agent {
namespace detail {

// Small enough that one chunk never fills a reader's whole window.
constexpr size_t kMaxChunkBytes = 16 * 1024;

} // namespace detail

StreamBuffer::StreamBuffer(uint32_t aWindowBytes)
  : m_windowBytes(aWindowBytes == 0 ? kDefaultWindowBytes
                                    : std::min(aWindowBytes, kMaxWindowBytes))
  , m_creditBytes(m_windowBytes)
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
  if (m_creditBytes <= 0) {
    return std::nullopt;
  }
  if (m_nextSequence == ChunkCount()) {
    if (m_pending.empty()) {
      return std::nullopt;
    }
    const size_t size = std::min({ m_pending.size(),
                                   static_cast<size_t>(m_creditBytes),
                                   detail::kMaxChunkBytes });
    m_endOffset += size;
    m_retainedBytes += size;
    m_retained.push_back({ m_endOffset, m_pending.substr(0, size) });
    m_pending.erase(0, size);
  }
  StreamChunk chunk{ m_nextSequence,
                     m_retained[m_nextSequence - m_firstRetained].m_data };
  m_creditBytes -= static_cast<int64_t>(chunk.m_data.size());
  m_sentOffset += chunk.m_data.size();
  ++m_nextSequence;
  return chunk;
}

void
StreamBuffer::AddCredit(uint32_t aBytes)
{
  m_creditBytes = std::min<int64_t>(m_creditBytes + aBytes, m_windowBytes);
  DropConsumed();
}

void
StreamBuffer::DropConsumed()
{
  const int64_t unconsumed =
    static_cast<int64_t>(m_windowBytes) - m_creditBytes;
  const int64_t consumed = static_cast<int64_t>(m_sentOffset) - unconsumed;
  while (!m_retained.empty() && m_firstRetained < m_nextSequence &&
         static_cast<int64_t>(m_retained.front().m_end) <= consumed) {
    m_retainedBytes -= m_retained.front().m_data.size();
    m_retained.pop_front();
    ++m_firstRetained;
  }
}

uint64_t
StreamBuffer::OffsetOf(uint32_t aSequence) const
{
  if (aSequence == ChunkCount()) {
    return m_endOffset;
  }
  const RetainedChunk& chunk = m_retained[aSequence - m_firstRetained];
  return chunk.m_end - chunk.m_data.size();
}

bool
StreamBuffer::Resume(uint32_t aNextSequence, uint32_t aCredit)
{
  if (aNextSequence < m_firstRetained || aNextSequence > ChunkCount()) {
    return false;
  }
  m_sentOffset = OffsetOf(aNextSequence);
  m_nextSequence = aNextSequence;
  m_creditBytes = std::min(aCredit, m_windowBytes);
  while (m_firstRetained < aNextSequence) {
    m_retainedBytes -= m_retained.front().m_data.size();
    m_retained.pop_front();
    ++m_firstRetained;
  }
  return true;
}

} // namespace chivefront::agent
