// Checks the order of the chunks of one attempt, tells when the answer is
// complete, and accounts for the flow control credit. Does no I/O; not
// thread-safe.
//
// The agent numbers chunks from 0 and gives their total in End. A chunk of
// another attempt or with a number that was accepted before is dropped. A chunk
// after a gap is dropped too, and the stream is resumed from NextSequence().
// Bytes are counted against the granted credit, so the data held for a slow
// reader is bounded whatever the agent does.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace chivefront::entry {

// An agent may exceed its credit by one piece, because it sends a piece whole
// once it has read it. A piece is at most 16 KiB (net::HttpClientStream).
inline constexpr size_t kCreditSlackBytes = 16 * 1024;

class StreamAssembler
{
public:
  enum class ChunkStatus
  {
    Accepted,
    Stale,      // of another attempt
    Duplicate,  // accepted before
    Gap,        // chunks before it are missing: resume from NextSequence()
    OverCredit, // more bytes than the credit allows
  };

  StreamAssembler(uint32_t aAttempt, size_t aWindowBytes)
    : m_attempt(aAttempt)
    , m_windowBytes(aWindowBytes)
    , m_grantedBytes(aWindowBytes)
  {
  }

  // Checks a chunk of aBytes, or a batch of aCount consecutive chunks of which
  // aSequence is the first. The data of an accepted chunk is the next data of
  // the answer.
  ChunkStatus OnChunk(uint32_t aAttempt,
                      uint32_t aSequence,
                      size_t aBytes,
                      uint32_t aCount = 1);
  // Records the total number of chunks. False when the end is of another
  // attempt.
  bool OnEnd(uint32_t aAttempt, uint32_t aChunkCount);

  // Records that aBytes were passed to the reader. Returns the credit in bytes
  // to grant to the agent now; 0 until enough has accumulated.
  size_t OnDelivered(size_t aBytes);
  // Returns the credit in bytes for a Resume and replaces all credit granted
  // before.
  size_t CreditForResume();

  uint32_t NextSequence() const { return m_nextSequence; }
  bool Ended() const { return m_chunkCount.has_value(); }
  // True when the end is known and all of its chunks were accepted.
  bool Complete() const
  {
    return m_chunkCount && *m_chunkCount == m_nextSequence;
  }
  // True when the end is known but fewer or more chunks were accepted.
  bool CountMismatch() const
  {
    return m_chunkCount && *m_chunkCount != m_nextSequence;
  }

private:
  const uint32_t m_attempt;
  const size_t m_windowBytes;
  uint32_t m_nextSequence = 0;
  std::optional<uint32_t> m_chunkCount;
  // Bytes since the last Resume.
  // Invariant: m_receivedBytes <= m_grantedBytes + kCreditSlackBytes.
  size_t m_grantedBytes;
  size_t m_receivedBytes = 0;
  size_t m_undeliveredBytes = 0; // accepted, not yet passed to the reader
  size_t m_unreturnedCredit = 0; // passed to the reader, not yet granted again
};

// Buffers a byte stream of server-sent events and releases complete events
// only, so that an error event can follow at any time without damaging another
// event.
class SseEventBuffer
{
public:
  explicit SseEventBuffer(size_t aMaxHeldBytes)
    : m_maxHeldBytes(aMaxHeldBytes)
  {
  }

  // Adds aData and returns all complete events. An incomplete event longer than
  // the bound is returned in parts.
  std::string Append(std::string aData);
  // Removes and returns the incomplete event at the end.
  std::string TakeIncomplete();
  // True when a part of an incomplete event was returned by Append.
  bool InsideEvent() const { return m_insideEvent; }

private:
  size_t m_maxHeldBytes;
  std::string m_incompleteEvent;
  bool m_insideEvent = false; // the reader has got a part of an event
};

} // namespace chivefront::entry
