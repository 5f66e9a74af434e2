// Puts the chunks of one attempt in order and knows when the answer is whole.
// Pure; not thread-safe.
//
// The agent numbers chunks from 0 and says in End how many there were. A chunk
// of another attempt or with a number seen before is dropped; one that is
// ahead is dropped too, and the stream is asked for again from NextSequence().
// Bytes are counted against the credit that was given, so that the data held
// for a slow reader is bounded whatever the agent does.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace chivefront::entry {

// An agent may send the piece it has read although it exceeds the credit by a
// part; a piece is at most 16 KiB (net::HttpClientStream).
inline constexpr size_t kCreditSlackBytes = 16 * 1024;

class StreamAssembler
{
public:
  enum class ChunkStatus
  {
    Accepted,
    Stale,      // of another attempt
    Duplicate,  // taken before
    Gap,        // chunks are missing before it: ask for NextSequence()
    OverCredit, // more bytes than the credit allows
  };

  StreamAssembler(uint32_t aAttempt, size_t aWindowBytes)
    : m_attempt(aAttempt)
    , m_windowBytes(aWindowBytes)
    , m_grantedBytes(aWindowBytes)
  {
  }

  // An accepted chunk's data is the next data of the answer. aCount chunks
  // that follow each other may be given as one.
  ChunkStatus OnChunk(uint32_t aAttempt,
                      uint32_t aSequence,
                      size_t aBytes,
                      uint32_t aCount = 1);
  // False when the end belongs to another attempt.
  bool OnEnd(uint32_t aAttempt, uint32_t aChunkCount);

  // Notes that aBytes were handed on to the reader. Returns the credit to
  // grant now, 0 while it is not worth a message.
  size_t OnDelivered(size_t aBytes);
  // The credit for a Resume, which replaces all credit granted before.
  size_t CreditForResume();

  uint32_t NextSequence() const { return m_nextSequence; }
  bool Ended() const { return m_chunkCount.has_value(); }
  // True when the end was seen and no chunk before it is missing.
  bool Complete() const
  {
    return m_chunkCount && *m_chunkCount == m_nextSequence;
  }
  // True when the end is known but chunks before it are missing or too many.
  bool CountMismatch() const
  {
    return m_chunkCount && *m_chunkCount != m_nextSequence;
  }

private:
  const uint32_t m_attempt;
  const size_t m_windowBytes;
  uint32_t m_nextSequence = 0;
  std::optional<uint32_t> m_chunkCount;
  // Bytes since the last Resume: allowed >= received - slack always.
  size_t m_grantedBytes;
  size_t m_receivedBytes = 0;
  size_t m_undeliveredBytes = 0; // accepted, not yet handed on
  size_t m_unreturnedCredit = 0; // handed on, credit not yet returned
};

// Cuts a byte stream of server-sent events so that what is handed on ends at
// the end of an event. An error can then follow without damaging one.
class SseEventBuffer
{
public:
  explicit SseEventBuffer(size_t aMaxHeldBytes)
    : m_maxHeldBytes(aMaxHeldBytes)
  {
  }

  // Takes in aData and returns what can be handed on. An event longer than
  // the bound is handed on in parts.
  std::string Append(std::string aData);
  // What is left after the last event.
  std::string TakeIncomplete();
  bool InsideEvent() const { return m_insideEvent; }

private:
  size_t m_maxHeldBytes;
  std::string m_incompleteEvent;
  bool m_insideEvent = false; // the reader has got a part of an event
};

} // namespace chivefront::entry
