// Checks of answers.
#include "chivefront/load/verify.h"

#include <sstream>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "chivefront/base/ids.h"

namespace chivefront::load {
namespace detail {

namespace json = boost::json;

constexpr uint64_t kWords = 10000; // vocabulary of the fake engine
constexpr std::string_view kBadMarker = "[bad]";
constexpr std::string_view kEventStart = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";

json::object
Parse(std::string_view aText)
{
  json::error_code error;
  json::value value =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  return !error && value.is_object() ? std::move(value.get_object())
                                     : json::object();
}

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

// choices[0].<aMember>.content, or nothing.
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
    words += "w" + std::to_string(hash % detail::kWords) + " ";
  }
  return words;
}

std::string
CheckWords(const std::string& aText, size_t aTokens, const Expected& aExpected)
{
  std::istringstream words(aText);
  std::string text;
  std::string word;
  size_t count = 0;
  while (words >> word) {
    if (word != detail::kBadMarker) {
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
  if (m_verdict.m_complete) {
    m_verdict.m_violation = "data after the end marker";
    return 0;
  }
  if (aData == detail::kDone) {
    m_verdict.m_complete = true;
    return 0;
  }
  const detail::json::object event = detail::Parse(aData);
  if (event.empty()) {
    m_verdict.m_violation = "an event is not JSON";
    return 0;
  }
  if (event.if_contains("error") != nullptr) {
    m_verdict.m_error = detail::TextAt(event, { "error", "type" });
    m_verdict.m_run = detail::TextAt(event, { "error", "run" });
    return 0;
  }
  if (event.if_contains("chivefront") != nullptr) {
    m_verdict.m_costMicros =
      detail::NumberAt(event, { "chivefront", "cost_micros" });
    m_verdict.m_version = detail::TextAt(event, { "chivefront", "version" });
    m_requestId = detail::TextAt(event, { "chivefront", "request_id" });
    return 0;
  }
  if (event.if_contains("usage") != nullptr) {
    m_tokens = detail::NumberAt(event, { "usage", "completion_tokens" });
    return 0;
  }
  const auto content = detail::Content(event, "delta");
  m_verdict.m_text += content.value_or("");
  return content ? 1 : 0;
}

size_t
StreamCheck::Feed(std::string_view aPiece)
{
  m_held += aPiece;
  size_t tokens = 0;
  size_t begin = 0;
  while (true) {
    const size_t end = m_held.find(detail::kEventEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event =
      std::string_view(m_held).substr(begin, end - begin);
    if (event.substr(0, detail::kEventStart.size()) == detail::kEventStart) {
      tokens += OnEvent(event.substr(detail::kEventStart.size()));
    }
    begin = end + detail::kEventEnd.size();
  }
  m_held.erase(0, begin);
  return tokens;
}

Verdict
StreamCheck::Finish(bool aEnded)
{
  Verdict verdict = m_verdict;
  if (verdict.m_complete && !aEnded) {
    verdict.m_violation = "the end marker came, but not the end";
  }
  if (verdict.m_complete && !verdict.m_error.empty()) {
    verdict.m_violation = "an error and an end marker";
  }
  if (!verdict.m_complete && aEnded && verdict.m_error.empty()) {
    verdict.m_violation = "the response ended without an end marker";
  }
  if (!verdict.m_complete && verdict.m_error.empty()) {
    verdict.m_error = "cut";
  }
  if (verdict.m_complete && verdict.m_violation.empty()) {
    verdict.m_violation = m_tokens
                            ? CheckWords(verdict.m_text, *m_tokens, m_expected)
                            : "no usage before the end marker";
  }
  return verdict;
}

Verdict
CheckWhole(const std::string& aBody, const Expected& aExpected)
{
  Verdict verdict;
  const detail::json::object body = detail::Parse(aBody);
  const auto content = detail::Content(body, "message");
  verdict.m_complete = content.has_value();
  if (!content) {
    verdict.m_violation = "no answer in a body of status 200";
    return verdict;
  }
  verdict.m_text = *content;
  verdict.m_violation =
    CheckWords(*content,
               detail::NumberAt(body, { "usage", "completion_tokens" }),
               aExpected);
  return verdict;
}

Verdict
ReadError(const std::string& aBody)
{
  Verdict verdict;
  const detail::json::object body = detail::Parse(aBody);
  verdict.m_error = detail::TextAt(body, { "error", "type" });
  verdict.m_run = detail::TextAt(body, { "error", "run" });
  if (verdict.m_error.empty()) {
    verdict.m_error = "unreadable";
  }
  return verdict;
}

Verdict
CheckService(const std::string& aBody, const std::string& aTarget)
{
  Verdict verdict;
  const detail::json::object body = detail::Parse(aBody);
  verdict.m_complete = body.if_contains("executions") != nullptr;
  verdict.m_text = aBody;
  if (!verdict.m_complete) {
    verdict.m_violation = "not the answer of a service";
  } else if (detail::NumberAt(body, { "executions" }) != 1) {
    verdict.m_violation = "executed more than once";
  } else if (detail::TextAt(body, { "target" }) != aTarget) {
    verdict.m_violation = "answer of another call";
  }
  return verdict;
}

} // namespace chivefront::load
