// Splits a text/event-stream body into complete events. A response that is
// truncated is forwarded up to its last complete event, so that another
// upstream can resume it there. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivefront::proxy {

class EventSplitter
{
public:
  // Appends aBytes and returns the events that are complete now, each with its
  // final blank line. Comments, and events without data and id, are held until
  // another event follows, because they are no progress: another upstream may
  // still begin the stream.
  std::string Add(std::string_view aBytes);
  // At the end of the stream: what is held.
  std::string TakeHeld();

  // Bytes of an event that is not complete yet.
  const std::string& PartialEvent() const { return m_partialEvent; }
  size_t PendingBytes() const { return m_partialEvent.size() + m_held.size(); }
  // Id of the last complete event that had an id.
  std::optional<uint64_t> LastId() const { return m_lastId; }
  // Discards what is pending before bytes of another upstream are added.
  void Restart()
  {
    m_partialEvent.clear();
    m_held.clear();
  }

private:
  void UpdateLastId(std::string_view aEvents);

  std::string m_partialEvent;
  std::string m_held; // complete, without an event that has data or an id
  std::optional<uint64_t> m_lastId;
};

} // namespace chivefront::proxy
