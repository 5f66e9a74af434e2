// Finds the ends and the ids of events.
#include "chivefront/proxy/event_stream.h"

#include <charconv>
#include <utility>

namespace chivefront::proxy {
namespace {

// Position after the last blank line of aText; 0 if there is none.
size_t
EndOfCompleteEvents(std::string_view aText)
{
  const size_t plain = aText.rfind("\n\n");
  const size_t withReturns = aText.rfind("\r\n\r\n");
  size_t end = plain == std::string_view::npos ? 0 : plain + 2;
  if (withReturns != std::string_view::npos) {
    end = std::max(end, withReturns + 4);
  }
  return end;
}

// Whether a line of aText is the data or the id of an event.
bool
HasContent(std::string_view aText)
{
  return aText.starts_with("data:") || aText.starts_with("id:") ||
         aText.find("\ndata:") != std::string_view::npos ||
         aText.find("\nid:") != std::string_view::npos;
}

} // namespace

std::string
EventSplitter::Add(std::string_view aBytes)
{
  m_partialEvent += aBytes;
  const size_t end = EndOfCompleteEvents(m_partialEvent);
  if (end == 0) {
    return {};
  }
  m_held += m_partialEvent.substr(0, end);
  m_partialEvent.erase(0, end);
  return HasContent(m_held) ? TakeHeld() : std::string();
}

std::string
EventSplitter::TakeHeld()
{
  std::string whole = std::exchange(m_held, {});
  UpdateLastId(whole);
  return whole;
}

void
EventSplitter::UpdateLastId(std::string_view aEvents)
{
  constexpr std::string_view kId = "id:";
  size_t at = 0;
  while (at < aEvents.size()) {
    size_t end = aEvents.find('\n', at);
    end = end == std::string_view::npos ? aEvents.size() : end;
    std::string_view line = aEvents.substr(at, end - at);
    at = end + 1;
    if (line.substr(0, kId.size()) != kId) {
      continue;
    }
    line.remove_prefix(kId.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    uint64_t id = 0;
    const auto [stop, error] =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc()) {
      m_lastId = id;
    }
  }
}

} // namespace chivefront::proxy
