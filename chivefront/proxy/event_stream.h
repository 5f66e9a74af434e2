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
  // final blank line.
  std::string Add(std::string_view aBytes);

  // Bytes of an event that is not complete yet.
  const std::string& PartialEvent() const { return m_partialEvent; }
  // Id of the last complete event that had an id.
  std::optional<uint64_t> LastId() const { return m_lastId; }
  // Discards the partial event before bytes of another upstream are added.
  void Restart() { m_partialEvent.clear(); }

private:
  void UpdateLastId(std::string_view aEvents);

  std::string m_partialEvent;
  std::optional<uint64_t> m_lastId;
};

} // namespace chivefront::proxy
