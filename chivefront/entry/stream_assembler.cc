// Ordering and credit of one stream.
#include "chivefront/entry/stream_assembler.h"

#include <utility>

namespace chivefront::entry {
namespace detail {

// Credit is returned when a quarter of the window was handed on, so that the
// agent neither waits for it nor gets one message a chunk.
constexpr size_t kGrantShare = 4;
constexpr std::string_view kEventEnd = "\n\n";

} // namespace detail

StreamAssembler::Verdict
StreamAssembler::OnChunk(uint32_t aAttempt,
                         uint32_t aSequence,
                         size_t aBytes,
                         uint32_t aCount)
{
  if (aAttempt != m_attempt) {
    return Verdict::Stale;
  }
  if (aSequence < m_next) {
    return Verdict::Duplicate;
  }
  if (aSequence > m_next) {
    return Verdict::Gap;
  }
  if (m_received + aBytes > m_allowed + kCreditSlackBytes) {
    return Verdict::OverCredit;
  }
  m_received += aBytes;
  m_held += aBytes;
  m_next += aCount;
  return Verdict::Accepted;
}

bool
StreamAssembler::OnEnd(uint32_t aAttempt, uint32_t aChunks)
{
  if (aAttempt != m_attempt) {
    return false;
  }
  m_chunks = aChunks;
  return true;
}

size_t
StreamAssembler::Release(size_t aBytes)
{
  m_held -= aBytes;
  m_ungranted += aBytes;
  if (m_ungranted < m_window / detail::kGrantShare) {
    return 0;
  }
  m_allowed += m_ungranted;
  return std::exchange(m_ungranted, 0);
}

size_t
StreamAssembler::CreditForResume()
{
  m_received = 0;
  m_ungranted = 0;
  m_allowed = m_held < m_window ? m_window - m_held : 0;
  return m_allowed;
}

std::string
EventCutter::Feed(std::string aData)
{
  m_held += aData;
  const size_t end = m_held.rfind(detail::kEventEnd);
  if (end != std::string::npos) {
    const size_t cut = end + detail::kEventEnd.size();
    std::string ready = m_held.substr(0, cut);
    m_held.erase(0, cut);
    m_inside = false;
    return ready;
  }
  if (m_held.size() > m_maxHeld) {
    m_inside = true;
    return std::exchange(m_held, {});
  }
  return {};
}

std::string
EventCutter::Rest()
{
  return std::exchange(m_held, {});
}

} // namespace chivefront::entry
