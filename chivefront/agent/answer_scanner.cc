// Server-sent events and usage.
#include "chivefront/agent/answer_scanner.h"

#include <algorithm>
#include <utility>

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
Number(const boost::json::object& aObject, const char* aName)
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
ReadUsage(std::string_view aJson, Usage& aUsage)
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
  aUsage.m_promptTokens = Number(fields, "prompt_tokens");
  aUsage.m_answerTokens = Number(fields, "completion_tokens");
  const auto* details = fields.if_contains("prompt_tokens_details");
  if (details != nullptr && details->is_object()) {
    aUsage.m_cachedTokens = Number(details->as_object(), "cached_tokens");
  }
  return true;
}

// Where the first event in aText ends, or npos.
size_t
EventEnd(std::string_view aText)
{
  const size_t unixEnd = aText.find("\n\n");
  const size_t netEnd = aText.find("\r\n\r\n");
  if (netEnd < unixEnd) {
    return netEnd + 4;
  }
  return unixEnd == aText.npos ? aText.npos : unixEnd + 2;
}

} // namespace detail

AnswerScanner::AnswerScanner(AnswerForm aForm, bool aKeepCopy)
  : m_form(aForm)
  , m_keepCopy(aKeepCopy || aForm == AnswerForm::Json)
{
}

void
AnswerScanner::Keep(std::string_view aPiece)
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
AnswerScanner::TakeEvent(std::string_view aEvent, std::string& aOut)
{
  const std::string_view data = detail::DataOf(aEvent);
  if (data == detail::kTerminator) {
    m_done = true;
    return;
  }
  if (data.find("\"usage\"") != data.npos) {
    m_reported = detail::ReadUsage(data, m_usage) || m_reported;
  } else if (!data.empty()) {
    ++m_deltas;
  }
  if (!m_reported) {
    // Engines send one token an event, so that a cut stream is billed by
    // what was sent.
    m_usage.m_answerTokens = m_deltas;
  }
  aOut += aEvent;
}

absl::Status
AnswerScanner::Take(std::string_view aPiece, std::string& aOut)
{
  if (m_form != AnswerForm::EventStream) {
    Keep(aPiece);
    aOut += aPiece;
    return absl::OkStatus();
  }
  m_partial += aPiece;
  size_t start = 0;
  while (true) {
    const std::string_view rest = std::string_view(m_partial).substr(start);
    const size_t end = detail::EventEnd(rest);
    if (end == rest.npos) {
      break;
    }
    TakeEvent(rest.substr(0, end), aOut);
    start += end;
  }
  m_partial.erase(0, start);
  if (m_partial.size() > detail::kMaxEventBytes) {
    return base::MakeError(base::ErrorKind::BadFrame, "event is too large");
  }
  return absl::OkStatus();
}

absl::Status
AnswerScanner::Finish(std::string& aOut)
{
  if (m_form == AnswerForm::Json) {
    m_reported = detail::ReadUsage(m_copy, m_usage);
  }
  if (m_form != AnswerForm::EventStream) {
    return absl::OkStatus();
  }
  if (!m_partial.empty()) {
    // Some servers leave out the blank line after the last event.
    const std::string last = std::exchange(m_partial, {});
    TakeEvent(last, aOut);
  }
  if (!m_done) {
    return base::MakeError(base::ErrorKind::AnswerIncomplete,
                           "stream ended without its terminator");
  }
  return absl::OkStatus();
}

} // namespace chivefront::agent
