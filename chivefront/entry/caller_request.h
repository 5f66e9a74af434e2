// Parses callers' requests. Parsing is strict: an unknown field of a body, and
// a field or header with a wrong type or value, is an error. All problems of a
// body are listed in one message. Pure functions.
#pragma once

#include <optional>
#include <string>

#include <boost/json/object.hpp>

#include <absl/status/statusor.h>

#include "chivefront/base/clock.h"
#include "chivefront/net/http.h"

namespace chivefront::entry {

// The model id that leaves the choice of the model to the cascade.
inline constexpr std::string_view kAutoModel = "auto";

enum class Route
{
  Chat,
  Service,
  Models,
};

// Headers that are valid on every route.
struct CallerHeaders
{
  std::string m_callerKey;
  std::string m_session;        // empty when not given
  std::string m_task;           // kind of task; empty when not given
  std::string m_idempotencyKey; // empty when not given
  std::optional<base::Millis> m_deadline;
};

struct ChatRequest
{
  std::string m_model; // a model id or kAutoModel
  bool m_stream = false;
  uint32_t m_maxTokens = 0;   // 0 when not given
  boost::json::object m_body; // valid, with all fields of the caller
};

struct ServiceRequest
{
  std::string m_service;
  std::string m_target; // path and query after the service name, from "/"
};

// UnknownRoute when no route has this path and method.
absl::StatusOr<Route>
ParseRoute(const net::HttpRequest& aRequest);

// Errors: BadHeader; UnknownTeam without a well-formed Authorization header.
absl::StatusOr<CallerHeaders>
ParseHeaders(const net::HttpRequest& aRequest);

// Errors: BadHeader for another content type than JSON; BadRequest, which lists
// every problem of the body.
absl::StatusOr<ChatRequest>
ParseChat(const net::HttpRequest& aRequest);

// Errors: UnknownRoute without a service name; BadRequest for a ".." segment.
absl::StatusOr<ServiceRequest>
ParseService(const net::HttpRequest& aRequest);

// The body for an engine of aVersion: the caller's body with the version as
// model, the answer limited to aMaxAnswerTokens (0 for no limit), and streaming
// set to aStream.
std::string
EngineBody(const ChatRequest& aRequest,
           std::string_view aVersion,
           uint32_t aMaxAnswerTokens,
           bool aStream);

// The text of the caller's messages, for the rating service.
std::string
PromptText(const ChatRequest& aRequest);

// Hash that is the same for equal requests of a team, on every entry and for
// every retry.
uint64_t
Fingerprint(std::string_view aTeam,
            std::string_view aPath,
            std::string_view aBody);

} // namespace chivefront::entry
