// The bytes of one answer between the upstream and the entry: cut into
// numbered chunks under byte credit, and kept until the entry consumed them,
// so that a stream goes on over a new link. Pure.
//
// Credit rule: the entry grants a window with the dispatch and returns credit
// as its caller takes bytes, so credit + (sent, not consumed) = window. The
// credit in a Resume is the window less what the entry holds for its caller.
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

// Used when a dispatch grants no credit; the bound on memory per stream when
// it grants more than kMaxWindow.
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

  // Starts again at aNextSequence. False when that chunk was dropped already
  // or never existed; the stream then can't be continued.
  bool Resume(uint32_t aNextSequence, uint32_t aCredit);

  // True when all that was appended is sent and credit is left.
  bool WantsMore() const { return IsDrained() && m_creditBytes > 0; }
  // True when all that was appended is sent.
  bool IsDrained() const
  {
    return m_pending.empty() &&
           m_nextSequence == m_firstRetained + m_retained.size();
  }
  // Chunks cut so far; the count for End once drained.
  uint32_t ChunkCount() const
  {
    return m_firstRetained + static_cast<uint32_t>(m_retained.size());
  }
  // Bytes in memory: unsent, and sent but not consumed.
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
  int64_t m_creditBytes; // below zero only while a kept chunk is sent again
  std::deque<RetainedChunk> m_retained;
  uint32_t m_firstRetained = 0; // sequence number of m_kept.front()
  uint32_t m_nextSequence = 0;  // next sequence number to send
  uint64_t m_sentOffset = 0;    // offset in the stream of the chunk m_next
  uint64_t m_cutOffset = 0;     // offset after the last chunk
  size_t m_retainedBytes = 0;
  std::string m_pending; // not cut into chunks yet
};

} // namespace chivefront::agent
