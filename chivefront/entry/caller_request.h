// Parsing of callers' requests. Strict: a field or header that is not known,
// or has another type or range, is an error, and all errors of a body are
// listed in one message. Pure.
#pragma once

#include <optional>
#include <string>

#include <boost/json/object.hpp>

#include <absl/status/statusor.h>

#include "chivefront/base/clock.h"
#include "chivefront/net/http.h"

namespace chivefront::entry {

// The model id that selects the cascade.
inline constexpr std::string_view kAutoModel = "auto";

enum class Route
{
  Chat,
  Service,
  Models,
};

// What the headers of every route may say.
struct CallerHeaders
{
  std::string m_callerKey;
  std::string m_session;        // empty without a session
  std::string m_task;           // task kind, empty when not given
  std::string m_idempotencyKey; // empty when not given
  std::optional<base::Millis> m_deadline;
};

struct ChatRequest
{
  std::string m_model; // a model id or kAutoModel
  bool m_stream = false;
  uint32_t m_maxTokens = 0; // 0 when not given
  boost::json::object m_body;
};

struct ServiceRequest
{
  std::string m_service;
  std::string m_target; // "/<rest>" with the query
};

// UnknownRoute when the path or its method is not served.
absl::StatusOr<Route>
ParseRoute(const net::HttpRequest& aRequest);

// BadHeader, or UnknownTeam without a well-formed Authorization header.
absl::StatusOr<CallerHeaders>
ParseHeaders(const net::HttpRequest& aRequest);

// BadRequest with every problem of the body.
absl::StatusOr<ChatRequest>
ParseChat(const net::HttpRequest& aRequest);

// UnknownRoute when no service is named, BadRequest for path segments that
// climb ("..").
absl::StatusOr<ServiceRequest>
ParseService(const net::HttpRequest& aRequest);

// The body for an engine of aVersion: the caller's, with the version in place
// of the model, the answer length limited to aMaxAnswerTokens, and streaming
// as given.
std::string
EngineBody(const ChatRequest& aRequest,
           std::string_view aVersion,
           uint32_t aMaxAnswerTokens,
           bool aStream);

// The text of the caller's messages, for the rating service.
std::string
PromptText(const ChatRequest& aRequest);

// Identifies equal requests of one team over all entries and retries.
uint64_t
Fingerprint(std::string_view aTeam,
            std::string_view aPath,
            std::string_view aBody);

} // namespace chivefront::entry
