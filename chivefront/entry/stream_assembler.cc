// Order and credit of the chunks of one stream; buffering of events.
#include "chivefront/entry/stream_assembler.h"

#include <utility>

namespace chivefront::entry {
namespace detail {

// Credit is granted each time the reader has taken 1/kGrantDivisor of the
// window, so that the agent neither waits for credit nor gets a message for
// each chunk.
constexpr size_t kGrantDivisor = 4;
constexpr std::string_view kEventEnd = "\n\n";

} // namespace detail

StreamAssembler::ChunkStatus
StreamAssembler::OnChunk(uint32_t aAttempt,
                         uint32_t aSequence,
                         size_t aBytes,
                         uint32_t aCount)
{
  if (aAttempt != m_attempt) {
    return ChunkStatus::Stale;
  }
  if (aSequence < m_nextSequence) {
    return ChunkStatus::Duplicate;
  }
  if (aSequence > m_nextSequence) {
    return ChunkStatus::Gap;
  }
  if (m_receivedBytes + aBytes > m_grantedBytes + kCreditSlackBytes) {
    return ChunkStatus::OverCredit;
  }
  m_receivedBytes += aBytes;
  m_undeliveredBytes += aBytes;
  m_nextSequence += aCount;
  return ChunkStatus::Accepted;
}

bool
StreamAssembler::OnEnd(uint32_t aAttempt, uint32_t aChunkCount)
{
  if (aAttempt != m_attempt) {
    return false;
  }
  m_chunkCount = aChunkCount;
  return true;
}

size_t
StreamAssembler::OnDelivered(size_t aBytes)
{
  m_undeliveredBytes -= aBytes;
  m_unreturnedCredit += aBytes;
  if (m_unreturnedCredit < m_windowBytes / detail::kGrantDivisor) {
    return 0;
  }
  m_grantedBytes += m_unreturnedCredit;
  return std::exchange(m_unreturnedCredit, 0);
}

size_t
StreamAssembler::CreditForResume()
{
  m_receivedBytes = 0;
  m_unreturnedCredit = 0;
  m_grantedBytes =
    m_undeliveredBytes < m_windowBytes ? m_windowBytes - m_undeliveredBytes : 0;
  return m_grantedBytes;
}

std::string
SseEventBuffer::Append(std::string aData)
{
  m_incompleteEvent += aData;
  const size_t end = m_incompleteEvent.rfind(detail::kEventEnd);
  if (end != std::string::npos) {
    const size_t cut = end + detail::kEventEnd.size();
    std::string ready = m_incompleteEvent.substr(0, cut);
    m_incompleteEvent.erase(0, cut);
    m_insideEvent = false;
    return ready;
  }
  if (m_incompleteEvent.size() > m_maxHeldBytes) {
    m_insideEvent = true;
    return std::exchange(m_incompleteEvent, {});
  }
  return {};
}

std::string
SseEventBuffer::TakeIncomplete()
{
  return std::exchange(m_incompleteEvent, {});
}

} // namespace chivefront::entry
