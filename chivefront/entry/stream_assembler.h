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
  enum class Verdict
  {
    Accepted,
    Stale,      // of another attempt
    Duplicate,  // taken before
    Gap,        // chunks are missing before it: ask for NextSequence()
    OverCredit, // more bytes than the credit allows
  };

  StreamAssembler(uint32_t aAttempt, size_t aWindowBytes)
    : m_attempt(aAttempt)
    , m_window(aWindowBytes)
    , m_allowed(aWindowBytes)
  {
  }

  // An accepted chunk's data is the next data of the answer. aCount chunks
  // that follow each other may be given as one.
  Verdict OnChunk(uint32_t aAttempt,
                  uint32_t aSequence,
                  size_t aBytes,
                  uint32_t aCount = 1);
  // False when the end belongs to another attempt.
  bool OnEnd(uint32_t aAttempt, uint32_t aChunks);

  // Notes that aBytes were handed on to the reader. Returns the credit to
  // grant now, 0 while it is not worth a message.
  size_t Release(size_t aBytes);
  // The credit for a Resume, which replaces all credit granted before.
  size_t CreditForResume();

  uint32_t NextSequence() const { return m_next; }
  bool Ended() const { return m_chunks.has_value(); }
  // True when the end was seen and no chunk before it is missing.
  bool Whole() const { return m_chunks && *m_chunks == m_next; }
  // True when the end is known but chunks before it are missing or too many.
  bool Missing() const { return m_chunks && *m_chunks != m_next; }

private:
  const uint32_t m_attempt;
  const size_t m_window;
  uint32_t m_next = 0;
  std::optional<uint32_t> m_chunks;
  // Bytes since the last Resume: allowed >= received - slack always.
  size_t m_allowed;
  size_t m_received = 0;
  size_t m_held = 0;      // accepted, not yet handed on
  size_t m_ungranted = 0; // handed on, credit not yet returned
};

// Cuts a byte stream of server-sent events so that what is handed on ends at
// the end of an event. An error can then follow without damaging one.
class EventCutter
{
public:
  explicit EventCutter(size_t aMaxHeldBytes)
    : m_maxHeld(aMaxHeldBytes)
  {
  }

  // Takes in aData and returns what can be handed on. An event longer than
  // the bound is handed on in parts.
  std::string Feed(std::string aData);
  // What is left after the last event.
  std::string Rest();
  bool InsideEvent() const { return m_inside; }

private:
  size_t m_maxHeld;
  std::string m_held;
  bool m_inside = false; // the reader has got a part of an event
};

} // namespace chivefront::entry
