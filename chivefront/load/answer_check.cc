// Checks of streamed, buffered and service answers.
#include "chivefront/load/answer_check.h"

#include <sstream>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "chivefront/base/ids.h"

namespace chivefront::load {
namespace detail {

namespace json = boost::json;

constexpr uint64_t kVocabularySize = 10000; // of the fake engine
// The fake engine adds this word to answers that it marks as bad. It doesn't
// count as a word of the answer.
constexpr std::string_view kBadAnswerMarker = "[bad]";
constexpr std::string_view kEventStart = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEndMarker = "[DONE]";

// Returns the JSON object in aText; an empty object when there is none.
json::object
Parse(std::string_view aText)
{
  json::error_code error;
  json::value value =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  return !error && value.is_object() ? std::move(value.get_object())
                                     : json::object();
}

// Returns the value at the path of member names; null when it is absent.
const json::value*
Find(const json::object& aObject, std::initializer_list<std::string_view> aPath)
{
  const json::value* found = nullptr;
  const json::object* object = &aObject;
  for (const std::string_view name : aPath) {
    found =
      object == nullptr
        ? nullptr
        : object->if_contains(json::string_view(name.data(), name.size()));
    object = found == nullptr ? nullptr : found->if_object();
  }
  return found;
}

std::string
TextAt(const json::object& aObject,
       std::initializer_list<std::string_view> aPath)
{
  const json::value* found = Find(aObject, aPath);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : std::string();
}

uint64_t
NumberAt(const json::object& aObject,
         std::initializer_list<std::string_view> aPath)
{
  const json::value* found = Find(aObject, aPath);
  json::error_code error;
  const auto number = found == nullptr ? 0 : found->to_number<uint64_t>(error);
  return error ? 0 : number;
}

// Returns choices[0].<aMember>.content. Empty when there is no choice.
std::optional<std::string>
Content(const json::object& aObject, std::string_view aMember)
{
  const json::value* choices = Find(aObject, { "choices" });
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty() || !choices->get_array()[0].is_object()) {
    return std::nullopt;
  }
  return TextAt(choices->get_array()[0].get_object(), { aMember, "content" });
}

} // namespace detail

std::string
EngineWords(std::string_view aPrompt, uint64_t aSeed, size_t aCount)
{
  std::string words;
  for (size_t i = 0; i < aCount; ++i) {
    const uint64_t hash =
      base::StableHash(std::string(aPrompt) + std::to_string(i), aSeed);
    words += "w" + std::to_string(hash % detail::kVocabularySize) + " ";
  }
  return words;
}

std::string
CheckAnswerWords(const std::string& aText,
                 size_t aTokens,
                 const ExpectedAnswer& aExpected)
{
  std::istringstream words(aText);
  std::string text;
  std::string word;
  size_t count = 0;
  while (words >> word) {
    if (word != detail::kBadAnswerMarker) {
      text += word + " ";
      ++count;
    }
  }
  if (count != aTokens) {
    return "answer has " + std::to_string(count) + " words, its usage says " +
           std::to_string(aTokens);
  }
  if (aExpected.m_engineSeed &&
      text != EngineWords(aExpected.m_prompt, *aExpected.m_engineSeed, count)) {
    return "answer is not the one to this request";
  }
  return {};
}

size_t
StreamCheck::OnEvent(std::string_view aData)
{
  if (m_result.m_complete) {
    m_result.m_violation = "data after the end marker";
    return 0;
  }
  if (aData == detail::kEndMarker) {
    m_result.m_complete = true;
    return 0;
  }
  const detail::json::object event = detail::Parse(aData);
  if (event.empty()) {
    m_result.m_violation = "an event is not JSON";
    return 0;
  }
  if (event.if_contains("error") != nullptr) {
    m_result.m_error = detail::TextAt(event, { "error", "type" });
    m_result.m_run = detail::TextAt(event, { "error", "run" });
    return 0;
  }
  if (event.if_contains("chivefront") != nullptr) {
    m_result.m_costMicros =
      detail::NumberAt(event, { "chivefront", "cost_micros" });
    m_result.m_version = detail::TextAt(event, { "chivefront", "version" });
    m_requestId = detail::TextAt(event, { "chivefront", "request_id" });
    return 0;
  }
  if (event.if_contains("usage") != nullptr) {
    m_usageTokens = detail::NumberAt(event, { "usage", "completion_tokens" });
    return 0;
  }
  const auto content = detail::Content(event, "delta");
  m_result.m_text += content.value_or("");
  return content ? 1 : 0;
}

size_t
StreamCheck::Feed(std::string_view aPart)
{
  m_partialEvent += aPart;
  size_t tokens = 0;
  size_t begin = 0;
  while (true) {
    const size_t end = m_partialEvent.find(detail::kEventEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event =
      std::string_view(m_partialEvent).substr(begin, end - begin);
    if (event.substr(0, detail::kEventStart.size()) == detail::kEventStart) {
      tokens += OnEvent(event.substr(detail::kEventStart.size()));
    }
    begin = end + detail::kEventEnd.size();
  }
  m_partialEvent.erase(0, begin);
  return tokens;
}

CheckResult
StreamCheck::Finish(bool aEndedCleanly)
{
  CheckResult result = m_result;
  if (result.m_complete && !aEndedCleanly) {
    result.m_violation = "the end marker came, but not the end";
  }
  if (result.m_complete && !result.m_error.empty()) {
    result.m_violation = "an error and an end marker";
  }
  if (!result.m_complete && aEndedCleanly && result.m_error.empty()) {
    result.m_violation = "the response ended without an end marker";
  }
  if (!result.m_complete && result.m_error.empty()) {
    result.m_error = "cut";
  }
  if (result.m_complete && result.m_violation.empty()) {
    result.m_violation =
      m_usageTokens
        ? CheckAnswerWords(result.m_text, *m_usageTokens, m_expected)
        : "no usage before the end marker";
  }
  return result;
}

CheckResult
CheckBufferedAnswer(const std::string& aBody, const ExpectedAnswer& aExpected)
{
  CheckResult result;
  const detail::json::object body = detail::Parse(aBody);
  const auto content = detail::Content(body, "message");
  result.m_complete = content.has_value();
  if (!content) {
    result.m_violation = "no answer in a body of status 200";
    return result;
  }
  result.m_text = *content;
  result.m_violation =
    CheckAnswerWords(*content,
                     detail::NumberAt(body, { "usage", "completion_tokens" }),
                     aExpected);
  return result;
}

CheckResult
ParseErrorBody(const std::string& aBody)
{
  CheckResult result;
  const detail::json::object body = detail::Parse(aBody);
  result.m_error = detail::TextAt(body, { "error", "type" });
  result.m_run = detail::TextAt(body, { "error", "run" });
  if (result.m_error.empty()) {
    result.m_error = "unreadable";
  }
  return result;
}

CheckResult
CheckServiceAnswer(const std::string& aBody, const std::string& aTarget)
{
  CheckResult result;
  const detail::json::object body = detail::Parse(aBody);
  result.m_complete = body.if_contains("executions") != nullptr;
  result.m_text = aBody;
  if (!result.m_complete) {
    result.m_violation = "not the answer of a service";
  } else if (detail::NumberAt(body, { "executions" }) != 1) {
    result.m_violation = "executed more than once";
  } else if (detail::TextAt(body, { "target" }) != aTarget) {
    result.m_violation = "answer of another call";
  }
  return result;
}

} // namespace chivefront::load
