// The HTTP protocol of the rating service, and the text of answers.
#include "chivefront/entry/rating.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::entry {
namespace detail {

constexpr size_t kMaxVerdictBytes = 4096;
constexpr std::string_view kEventStart = "data: ";
constexpr std::string_view kEventEnd = "\n\n";

// choices[0].<aMember>.content of an engine's JSON object; empty without it.
std::string
ContentOf(std::string_view aJson, std::string_view aMember)
{
  boost::json::error_code error;
  const boost::json::value whole = boost::json::parse(
    boost::json::string_view(aJson.data(), aJson.size()), error);
  if (error || !whole.is_object()) {
    return {};
  }
  const auto* choices = whole.get_object().if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty() || !choices->get_array()[0].is_object()) {
    return {};
  }
  const auto* member = choices->get_array()[0].get_object().if_contains(
    boost::json::string_view(aMember.data(), aMember.size()));
  if (member == nullptr || !member->is_object()) {
    return {};
  }
  const auto* content = member->get_object().if_contains("content");
  return content != nullptr && content->is_string()
           ? std::string(content->get_string())
           : std::string();
}

} // namespace detail

std::string
AnswerText(std::string_view aBody)
{
  return detail::ContentOf(aBody, "message");
}

std::string
StreamedAnswerText(std::string_view aEvents)
{
  std::string text;
  size_t begin = 0;
  while (true) {
    const size_t end = aEvents.find(detail::kEventEnd, begin);
    if (end == std::string_view::npos) {
      return text;
    }
    const std::string_view event = aEvents.substr(begin, end - begin);
    if (event.substr(0, detail::kEventStart.size()) == detail::kEventStart) {
      text +=
        detail::ContentOf(event.substr(detail::kEventStart.size()), "delta");
    }
    begin = end + detail::kEventEnd.size();
  }
}

net::Task<absl::StatusOr<bool>>
RatingClient::Rate(const RatingInput& aInput) const
{
  if (!m_endpoint) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              "no rating service is set");
  }
  boost::json::object body;
  body["request_id"] = aInput.m_requestId;
  body["task"] = aInput.m_task;
  body["version"] = aInput.m_version;
  body["prompt"] = aInput.m_prompt;
  body["answer"] = aInput.m_answer;
  net::HttpRequest request("POST", "/v1/rate");
  request.m_headers.emplace_back("Content-Type", "application/json");
  request.m_body = boost::json::serialize(body);
  net::HttpTimeouts timeouts;
  timeouts.m_connect = m_timeout;
  timeouts.m_header = m_timeout;
  timeouts.m_piece = m_timeout;
  base::Endpoint endpoint = *m_endpoint;
  const auto reply = co_await net::HttpCall(
    std::move(endpoint), request, timeouts, detail::kMaxVerdictBytes);
  if (!reply.ok()) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              base::MessageOf(reply.status()));
  }
  boost::json::error_code error;
  const boost::json::value verdict = boost::json::parse(reply->m_body, error);
  const auto* acceptable = !error && verdict.is_object()
                             ? verdict.get_object().if_contains("acceptable")
                             : nullptr;
  if (reply->m_status != 200 || acceptable == nullptr ||
      !acceptable->is_bool()) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              "the rating service gave no verdict");
  }
  co_return acceptable->get_bool();
}

} // namespace chivefront::entry
