// Event boundaries and ids.
#include "chivefront/proxy/event_stream.h"

#include <charconv>

namespace chivefront::proxy {
namespace {

// Position after the last blank line of aText, or 0.
size_t
EndOfWholeEvents(std::string_view aText)
{
  const size_t plain = aText.rfind("\n\n");
  const size_t withReturns = aText.rfind("\r\n\r\n");
  size_t end = plain == std::string_view::npos ? 0 : plain + 2;
  if (withReturns != std::string_view::npos) {
    end = std::max(end, withReturns + 4);
  }
  return end;
}

} // namespace

std::string
EventSplitter::Add(std::string_view aBytes)
{
  m_rest += aBytes;
  const size_t end = EndOfWholeEvents(m_rest);
  if (end == 0) {
    return {};
  }
  std::string whole = m_rest.substr(0, end);
  m_rest.erase(0, end);
  ReadIds(whole);
  return whole;
}

void
EventSplitter::ReadIds(std::string_view aEvents)
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
