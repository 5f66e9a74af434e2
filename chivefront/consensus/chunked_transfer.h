// Progress of a snapshot, or of a large entry, that the leader sends to one
// replica in chunks, one at a time.
//
//   if (!transfer.InFlight()) {
//     send(data.substr(transfer.Offset(), chunkBytes));
//     transfer.OnSent();
//   }
//   transfer.OnAnswer(bytesHeldByReplica);
//   transfer.OnHeartbeat(); // with each heartbeat
#pragma once

#include <cstdint>

namespace chivefront::consensus {

class ChunkedTransfer
{
public:
  // Bytes that the replica is known to hold.
  uint64_t Offset() const { return m_offset; }
  bool InFlight() const { return m_inFlight; }

  void OnSent()
  {
    m_inFlight = true;
    m_heartbeatsSinceSent = 0;
  }

  // The replica holds aOffset bytes; fewer than before if it has restarted. An
  // answer that tells nothing new belongs to a chunk that was sent twice.
  // Taking it for the answer to the chunk in flight would send one more with
  // each repeat.
  void OnAnswer(uint64_t aOffset)
  {
    if (aOffset != m_offset) {
      m_offset = aOffset;
      m_inFlight = false;
    }
  }

  // A chunk that is not answered after several heartbeats is sent again. On a
  // busy link an earlier repeat would delay all others.
  void OnHeartbeat()
  {
    if (++m_heartbeatsSinceSent >= kHeartbeatsBeforeRetry) {
      m_inFlight = false;
    }
  }

  void Restart() { *this = ChunkedTransfer(); }

private:
  // Together about an election timeout.
  static constexpr uint32_t kHeartbeatsBeforeRetry = 4;

  uint64_t m_offset = 0;
  bool m_inFlight = false;
  uint32_t m_heartbeatsSinceSent = 0;
};

} // namespace chivefront::consensus
