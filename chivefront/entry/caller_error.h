// Errors as a caller gets them: a JSON object with the kind of the error and
// whether the request was run.
#pragma once

#include <string>

#include "chivefront/base/clock.h"
#include "chivefront/base/errors.h"
#include "chivefront/net/http.h"

namespace chivefront::entry {

struct CallerError
{
  CallerError() = default;
  // Sets the outcome that aKind proves.
  CallerError(base::ErrorKind aKind, std::string aMessage)
    : m_kind(aKind)
    , m_message(std::move(aMessage))
    , m_outcome(base::OutcomeOf(aKind))
  {
  }
  CallerError(base::ErrorKind aKind,
              std::string aMessage,
              base::Outcome aOutcome)
    : m_kind(aKind)
    , m_message(std::move(aMessage))
    , m_outcome(aOutcome)
  {
  }
  explicit CallerError(const absl::Status& aStatus)
    : CallerError(base::KindOf(aStatus), std::string(base::MessageOf(aStatus)))
  {
  }
  // An error from before any dispatch, so its outcome is NotRun.
  static CallerError BeforeDispatch(const absl::Status& aStatus)
  {
    CallerError error(aStatus);
    error.m_outcome = base::Outcome::NotRun;
    return error;
  }

  base::ErrorKind m_kind = base::ErrorKind::Internal;
  std::string m_message;
  base::Outcome m_outcome = base::Outcome::Unknown;
  base::Millis m_retryAfter; // 0 for the default
};

// The kind with the name aName; RejectedByAgent for an unknown name.
base::ErrorKind
KindByName(std::string_view aName);

// {"error": {...}} as described in docs/design.md, section 13.
std::string
ErrorJson(const CallerError& aError, std::string_view aRequestId);

net::HttpResponse
ErrorResponse(const CallerError& aError, std::string_view aRequestId);

// The same object as a server-sent event, for an answer that has begun.
std::string
ErrorEvent(const CallerError& aError, std::string_view aRequestId);

} // namespace chivefront::entry
