// Splits a text/event-stream body into whole events, so that an answer that
// breaks off is passed on up to its last whole event and can go on elsewhere.
// Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivefront::proxy {

class EventSplitter
{
public:
  // Returns the whole events that are complete with aBytes, with their blank
  // lines.
  std::string Add(std::string_view aBytes);

  // Bytes of an event that has not ended.
  const std::string& Rest() const { return m_rest; }
  // Id of the last whole event that had one.
  std::optional<uint64_t> LastId() const { return m_lastId; }
  // Forgets a partial event; the next bytes are from another upstream.
  void Restart() { m_rest.clear(); }

private:
  void ReadIds(std::string_view aEvents);

  std::string m_rest;
  std::optional<uint64_t> m_lastId;
};

} // namespace chivefront::proxy
