// Splits server-sent events and reads the usage of an answer.
#include "chivefront/agent/answer_scanner.h"

#include <algorithm>

#include <boost/json.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::agent {
namespace detail {

constexpr size_t kMaxEventBytes = 1024 * 1024;
// Answers beyond this size are not stored with a claim.
constexpr size_t kMaxCopyBytes = 8 * 1024 * 1024;
constexpr std::string_view kTerminator = "[DONE]";
constexpr std::string_view kDataField = "data:";

// The data of an event, without the field name and one leading space.
std::string_view
DataOf(std::string_view aEvent)
{
  if (aEvent.substr(0, kDataField.size()) != kDataField) {
    return {};
  }
  aEvent.remove_prefix(kDataField.size());
  const size_t first = aEvent.find_first_not_of(' ');
  aEvent.remove_prefix(std::min(first, aEvent.size()));
  const size_t last = aEvent.find_last_not_of("\r\n");
  return aEvent.substr(0, last == aEvent.npos ? 0 : last + 1);
}

uint32_t
NumberField(const boost::json::object& aObject, const char* aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = value->to_number<uint32_t>(error);
  return error ? 0 : number;
}

bool
ParseUsage(std::string_view aJson, Usage& aUsage)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(
    boost::json::string_view(aJson.data(), aJson.size()), error);
  if (error || !value.is_object()) {
    return false;
  }
  const auto* usage = value.as_object().if_contains("usage");
  if (usage == nullptr || !usage->is_object()) {
    return false;
  }
  const boost::json::object& fields = usage->as_object();
  aUsage.m_promptTokens = NumberField(fields, "prompt_tokens");
  aUsage.m_answerTokens = NumberField(fields, "completion_tokens");
  const auto* details = fields.if_contains("prompt_tokens_details");
  if (details != nullptr && details->is_object()) {
    aUsage.m_cachedTokens = NumberField(details->as_object(), "cached_tokens");
  }
  return true;
}

// The offset after the first event in aText, or npos.
size_t
FindEventEnd(std::string_view aText)
{
  const size_t lfEnd = aText.find("\n\n");
  const size_t crlfEnd = aText.find("\r\n\r\n");
  if (crlfEnd < lfEnd) {
    return crlfEnd + 4;
  }
  return lfEnd == aText.npos ? aText.npos : lfEnd + 2;
}

} // namespace detail

AnswerScanner::AnswerScanner(AnswerFormat aFormat, bool aKeepCopy)
  : m_format(aFormat)
  , m_keepCopy(aKeepCopy || aFormat == AnswerFormat::Json)
{
}

void
AnswerScanner::AppendToCopy(std::string_view aPiece)
{
  if (!m_keepCopy || !m_copyComplete) {
    return;
  }
  if (m_copy.size() + aPiece.size() > detail::kMaxCopyBytes) {
    m_copyComplete = false;
    m_copy.clear();
    return;
  }
  m_copy += aPiece;
}

void
AnswerScanner::ScanEvent(std::string_view aEvent, std::string& aOut)
{
  const std::string_view data = detail::DataOf(aEvent);
  m_progress += data.empty() ? 0 : 1;
  if (data == detail::kTerminator) {
    m_terminated = true;
    return;
  }
  if (data.find("\"usage\"") != data.npos) {
    m_usageReported = detail::ParseUsage(data, m_usage) || m_usageReported;
  } else if (!data.empty()) {
    ++m_deltaEvents;
  }
  if (!m_usageReported) {
    // Engines send one token per event. Counting events allows a truncated
    // stream to be billed by the tokens that were sent.
    m_usage.m_answerTokens = m_deltaEvents;
  }
  aOut += aEvent;
}

absl::Status
AnswerScanner::Scan(std::string_view aPiece, std::string& aOut)
{
  if (m_format != AnswerFormat::EventStream) {
    ++m_progress;
    AppendToCopy(aPiece);
    aOut += aPiece;
    return absl::OkStatus();
  }
  m_partialEvent += aPiece;
  size_t start = 0;
  while (true) {
    const std::string_view remaining =
      std::string_view(m_partialEvent).substr(start);
    const size_t end = detail::FindEventEnd(remaining);
    if (end == remaining.npos) {
      break;
    }
    ScanEvent(remaining.substr(0, end), aOut);
    start += end;
  }
  m_partialEvent.erase(0, start);
  if (m_partialEvent.size() > detail::kMaxEventBytes) {
    return base::MakeError(base::ErrorKind::BadFrame, "event is too large");
  }
  return absl::OkStatus();
}

absl::Status
AnswerScanner::Finish()
{
  if (m_format == AnswerFormat::Json) {
    m_usageReported = detail::ParseUsage(m_copy, m_usage);
  }
  if (m_format != AnswerFormat::EventStream) {
    return absl::OkStatus();
  }
  // Some servers omit the blank line after the terminator. Any other event
  // without its end was truncated.
  m_terminated =
    m_terminated || detail::DataOf(m_partialEvent) == detail::kTerminator;
  if (!m_terminated) {
    return base::MakeError(base::ErrorKind::AnswerIncomplete,
                           "stream ended without its terminator");
  }
  return absl::OkStatus();
}

} // namespace chivefront::agent
