// Parsing and validation of routes, headers and bodies.
#include "chivefront/entry/caller_request.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"

namespace chivefront::entry {
namespace detail {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr size_t kMaxHeaderValueBytes = 128;
constexpr int64_t kMaxDeadlineMs = 3600 * 1000;
constexpr int64_t kMaxAnswerTokens = 1000000;
constexpr double kMaxTemperature = 2;
constexpr double kMaxPenalty = 2;

absl::Status
BadHeader(std::string_view aName, std::string_view aProblem)
{
  return base::MakeError(base::ErrorKind::BadHeader,
                         std::string(aName) + " " + std::string(aProblem));
}

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

bool
IsPrintable(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return aByte > 0x20 && aByte < 0x7f;
  });
}

// Reads a header that may be given at most once. aTarget stays as it is when
// the header is missing.
absl::Status
ReadSingleHeader(const net::HttpRequest& aRequest,
                 std::string_view aName,
                 std::string& aTarget)
{
  size_t count = 0;
  for (const auto& header : aRequest.m_headers) {
    const net::HttpHeaders single{ header };
    if (!net::FindHeader(single, aName).empty()) {
      ++count;
    }
  }
  if (count == 0) {
    return absl::OkStatus();
  }
  if (count > 1) {
    return BadHeader(aName, "is given more than once");
  }
  aTarget = std::string(aRequest.Header(aName));
  if (aTarget.size() > kMaxHeaderValueBytes || !IsPrintable(aTarget)) {
    return BadHeader(aName,
                     "must be at most " + std::to_string(kMaxHeaderValueBytes) +
                       " printable characters without spaces");
  }
  return absl::OkStatus();
}

using Value = boost::json::value;
// Returns the problem of a value; empty when the value is valid.
using FieldCheck = std::function<std::string(const Value&)>;

FieldCheck
StringField()
{
  return [](const Value& aValue) {
    return aValue.is_string() ? "" : "must be a string";
  };
}
FieldCheck
BooleanField()
{
  return [](const Value& aValue) {
    return aValue.is_bool() ? "" : "must be a boolean";
  };
}
FieldCheck
ObjectField()
{
  return [](const Value& aValue) {
    return aValue.is_object() ? "" : "must be an object";
  };
}
FieldCheck
ListField()
{
  return [](const Value& aValue) {
    return aValue.is_array() ? "" : "must be a list";
  };
}
FieldCheck
NumberField(double aLowest, double aHighest)
{
  return [=](const Value& aValue) -> std::string {
    boost::json::error_code error;
    const double number = aValue.to_number<double>(error);
    return !error && number >= aLowest && number <= aHighest
             ? ""
             : "must be a number in range";
  };
}
FieldCheck
IntegerField(int64_t aLowest, int64_t aHighest)
{
  return [=](const Value& aValue) -> std::string {
    boost::json::error_code error;
    const int64_t number = aValue.to_number<int64_t>(error);
    return !error && !aValue.is_double() && number >= aLowest &&
               number <= aHighest
             ? ""
             : "must be a whole number from " + std::to_string(aLowest) +
                 " to " + std::to_string(aHighest);
  };
}
FieldCheck
StopField()
{
  return [](const Value& aValue) {
    const bool good =
      aValue.is_string() ||
      (aValue.is_array() &&
       std::all_of(aValue.get_array().begin(),
                   aValue.get_array().end(),
                   [](const Value& aItem) { return aItem.is_string(); }));
    return good ? "" : "must be a string or a list of strings";
  };
}

// Every message needs a role and content. Other members, such as names and tool
// calls, are passed on without a check.
std::string
CheckMessages(const Value& aValue)
{
  if (!aValue.is_array() || aValue.get_array().empty()) {
    return "must be a non-empty list";
  }
  for (const Value& item : aValue.get_array()) {
    const boost::json::object* message = item.if_object();
    if (message == nullptr) {
      return "must hold objects";
    }
    const Value* role = message->if_contains("role");
    const Value* content = message->if_contains("content");
    if (role == nullptr || !role->is_string() || content == nullptr ||
        !(content->is_string() || content->is_array())) {
      return "must hold objects with role and content";
    }
  }
  return {};
}

const std::map<std::string, FieldCheck, std::less<>>&
ChatFields()
{
  static const std::map<std::string, FieldCheck, std::less<>> kFields{
    { "model", StringField() },
    { "messages", CheckMessages },
    { "stream", BooleanField() },
    { "stream_options", ObjectField() },
    { "max_tokens", IntegerField(1, kMaxAnswerTokens) },
    { "max_completion_tokens", IntegerField(1, kMaxAnswerTokens) },
    { "temperature", NumberField(0, kMaxTemperature) },
    { "top_p", NumberField(0, 1) },
    { "frequency_penalty", NumberField(-kMaxPenalty, kMaxPenalty) },
    { "presence_penalty", NumberField(-kMaxPenalty, kMaxPenalty) },
    { "n", IntegerField(1, 1) },
    { "seed", IntegerField(INT64_MIN, INT64_MAX) },
    { "stop", StopField() },
    { "user", StringField() },
    { "response_format", ObjectField() },
    { "tools", ListField() },
  };
  return kFields;
}

std::string
CheckChatBody(const boost::json::object& aBody)
{
  std::string problems;
  const auto addProblem = [&](std::string_view aField,
                              std::string_view aProblem) {
    problems += (problems.empty() ? "" : "; ") + std::string(aField) + " " +
                std::string(aProblem);
  };
  for (const auto& member : aBody) {
    const std::string_view name(member.key().data(), member.key().size());
    const auto field = ChatFields().find(name);
    if (field == ChatFields().end()) {
      addProblem(name, "is not known");
    } else if (const std::string problem = field->second(member.value());
               !problem.empty()) {
      addProblem(name, problem);
    }
  }
  for (const char* required : { "model", "messages" }) {
    if (aBody.if_contains(required) == nullptr) {
      addProblem(required, "is missing");
    }
  }
  return problems;
}

} // namespace detail

absl::StatusOr<Route>
ParseRoute(const net::HttpRequest& aRequest)
{
  const std::string_view path = aRequest.Path();
  if (path == detail::kChatPath && aRequest.m_method == "POST") {
    return Route::Chat;
  }
  if (path == detail::kModelsPath && aRequest.m_method == "GET") {
    return Route::Models;
  }
  if (detail::StartsWith(path, detail::kServicesPath)) {
    return Route::Service;
  }
  return base::MakeError(base::ErrorKind::UnknownRoute,
                         "no such path or method");
}

absl::StatusOr<CallerHeaders>
ParseHeaders(const net::HttpRequest& aRequest)
{
  CallerHeaders headers;
  const std::string_view authorization = aRequest.Header("Authorization");
  if (!detail::StartsWith(authorization, detail::kBearer)) {
    return base::MakeError(base::ErrorKind::UnknownTeam,
                           "Authorization must be 'Bearer <caller key>'");
  }
  headers.m_callerKey =
    std::string(authorization.substr(detail::kBearer.size()));
  std::string deadline;
  for (const auto& [name, target] :
       { std::pair{ "X-Chivefront-Session", &headers.m_session },
         std::pair{ "X-Chivefront-Task", &headers.m_task },
         std::pair{ "Idempotency-Key", &headers.m_idempotencyKey },
         std::pair{ "X-Chivefront-Deadline-Ms", &deadline } }) {
    if (const auto status = detail::ReadSingleHeader(aRequest, name, *target);
        !status.ok()) {
      return status;
    }
  }
  if (!deadline.empty()) {
    int64_t number = 0;
    const char* end = deadline.data() + deadline.size();
    const auto [stop, error] = std::from_chars(deadline.data(), end, number);
    if (error != std::errc() || stop != end || number < 1 ||
        number > detail::kMaxDeadlineMs) {
      return detail::BadHeader("X-Chivefront-Deadline-Ms",
                               "must be a whole number from 1 to " +
                                 std::to_string(detail::kMaxDeadlineMs));
    }
    headers.m_deadline = base::Millis(number);
  }
  return headers;
}

absl::StatusOr<ChatRequest>
ParseChat(const net::HttpRequest& aRequest)
{
  const std::string_view type = aRequest.Header("Content-Type");
  if (!type.empty() && !detail::StartsWith(type, "application/json")) {
    return detail::BadHeader("Content-Type", "must be application/json");
  }
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(aRequest.m_body, error);
  if (error || !value.is_object()) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "the body must be a JSON object");
  }
  ChatRequest chat;
  chat.m_body = std::move(value.get_object());
  if (const std::string problems = detail::CheckChatBody(chat.m_body);
      !problems.empty()) {
    return base::MakeError(base::ErrorKind::BadRequest, problems);
  }
  chat.m_model = std::string(chat.m_body["model"].get_string());
  if (const auto* stream = chat.m_body.if_contains("stream")) {
    chat.m_stream = stream->get_bool();
  }
  for (const char* name : { "max_tokens", "max_completion_tokens" }) {
    if (const auto* tokens = chat.m_body.if_contains(name)) {
      chat.m_maxTokens = tokens->to_number<uint32_t>();
    }
  }
  return chat;
}

absl::StatusOr<ServiceRequest>
ParseService(const net::HttpRequest& aRequest)
{
  const std::string_view rest =
    std::string_view(aRequest.m_target).substr(detail::kServicesPath.size());
  const size_t end = rest.find_first_of("/?");
  ServiceRequest service;
  service.m_service = std::string(rest.substr(0, end));
  service.m_target =
    end == std::string_view::npos ? "/" : std::string(rest.substr(end));
  if (service.m_target.front() != '/') {
    service.m_target.insert(0, "/");
  }
  if (service.m_service.empty()) {
    return base::MakeError(base::ErrorKind::UnknownRoute, "no service named");
  }
  if (service.m_target.find("/..") != std::string::npos) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "the path must not contain '..'");
  }
  return service;
}

std::string
EngineBody(const ChatRequest& aRequest,
           std::string_view aVersion,
           uint32_t aMaxAnswerTokens,
           bool aStream)
{
  boost::json::object body = aRequest.m_body;
  body["model"] = std::string(aVersion);
  body["stream"] = aStream;
  body.erase("stream_options");
  body.erase("max_completion_tokens");
  uint32_t tokens = aRequest.m_maxTokens;
  if (aMaxAnswerTokens != 0) {
    tokens =
      tokens == 0 ? aMaxAnswerTokens : std::min(tokens, aMaxAnswerTokens);
  }
  if (tokens != 0) {
    body["max_tokens"] = tokens;
  }
  return boost::json::serialize(body);
}

std::string
PromptText(const ChatRequest& aRequest)
{
  std::string text;
  for (const auto& message : aRequest.m_body.at("messages").as_array()) {
    const auto& content = message.as_object().at("content");
    text += content.is_string() ? std::string(content.get_string())
                                : boost::json::serialize(content);
    text += '\n';
  }
  return text;
}

uint64_t
Fingerprint(std::string_view aTeam,
            std::string_view aPath,
            std::string_view aBody)
{
  std::string text(aTeam);
  text += '\0';
  text += aPath;
  text += '\0';
  text += aBody;
  return base::StableHash(text);
}

} // namespace chivefront::entry
