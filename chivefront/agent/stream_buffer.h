// Buffers the bytes of one answer between the upstream and the entry. Splits
// them into numbered chunks, sends chunks only while byte credit is left, and
// keeps each chunk until the entry consumed it, so that the stream can resume
// over a new link. Pure.
//
// Credit rule: the dispatch grants a window, and the entry returns credit as
// its caller takes bytes, so credit + (sent, not consumed) = window. The credit
// in a Resume is the window less the bytes that the entry holds for its caller.
//
//   buffer.Append(piece);
//   while (auto chunk = buffer.TakeChunk()) send(*chunk);
//   if (!buffer.WantsMore()) ... stop reading from the upstream ...
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace chivefront::agent {

// kDefaultWindowBytes applies when a dispatch grants no credit. A larger grant
// than kMaxWindowBytes is cut to it, which bounds the memory of a stream.
inline constexpr uint32_t kDefaultWindowBytes = 64 * 1024;
inline constexpr uint32_t kMaxWindowBytes = 1024 * 1024;

struct StreamChunk
{
  uint32_t m_sequence = 0;
  std::string m_data;
};

class StreamBuffer
{
public:
  explicit StreamBuffer(uint32_t aWindowBytes);

  void Append(std::string_view aData);
  // The next chunk that credit allows.
  std::optional<StreamChunk> TakeChunk();
  void AddCredit(uint32_t aBytes);

  // Continues with chunk aNextSequence. False when that chunk was already
  // dropped or never existed; then the stream can't be resumed.
  bool Resume(uint32_t aNextSequence, uint32_t aCredit);

  // True when all appended bytes are sent and credit is left.
  bool WantsMore() const { return IsDrained() && m_creditBytes > 0; }
  // True when all appended bytes are sent.
  bool IsDrained() const
  {
    return m_pending.empty() &&
           m_nextSequence == m_firstRetained + m_retained.size();
  }
  // Number of chunks so far; the count for End once the buffer is drained.
  uint32_t ChunkCount() const
  {
    return m_firstRetained + static_cast<uint32_t>(m_retained.size());
  }
  // Bytes in memory: those not sent, and those sent but not consumed.
  size_t HeldBytes() const { return m_retainedBytes + m_pending.size(); }

private:
  void DropConsumed();
  uint64_t OffsetOf(uint32_t aSequence) const;

  struct RetainedChunk
  {
    uint64_t m_end = 0; // offset in the stream after this chunk
    std::string m_data;
  };

  uint32_t m_windowBytes;
  int64_t m_creditBytes; // below zero only while a retained chunk is sent again
  std::deque<RetainedChunk> m_retained;
  uint32_t m_firstRetained = 0; // sequence number of m_retained.front()
  uint32_t m_nextSequence = 0;  // next sequence number to send
  uint64_t m_sentOffset = 0;    // offset in the stream of chunk m_nextSequence
  uint64_t m_endOffset = 0;     // offset after the last chunk
  size_t m_retainedBytes = 0;
  std::string m_pending; // not split into chunks yet
};

} // namespace chivefront::agent
