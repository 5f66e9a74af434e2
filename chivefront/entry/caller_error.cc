// Rendering of errors for callers.
#include "chivefront/entry/caller_error.h"

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chivefront::entry {
namespace detail {

constexpr int64_t kMillisPerSecond = 1000;
constexpr base::Millis kDefaultRetryAfter{ 1000 };

// True when the same request may succeed later; such errors get a Retry-After.
bool
IsTransient(base::ErrorKind aKind)
{
  switch (aKind) {
    case base::ErrorKind::RateLimited:
    case base::ErrorKind::Overloaded:
    case base::ErrorKind::NoUpstream:
    case base::ErrorKind::NotFresh:
    case base::ErrorKind::ShuttingDown:
    case base::ErrorKind::RejectedByAgent:
    case base::ErrorKind::InProgress:
    case base::ErrorKind::Unavailable:
    case base::ErrorKind::BillingUnavailable:
      return true;
    default:
      return false;
  }
}

} // namespace detail

base::ErrorKind
KindByName(std::string_view aName)
{
  const int last = static_cast<int>(base::ErrorKind::Internal);
  for (int i = 1; i <= last; ++i) {
    const auto kind = static_cast<base::ErrorKind>(i);
    if (base::ErrorName(kind) == aName) {
      return kind;
    }
  }
  return base::ErrorKind::RejectedByAgent;
}

std::string
ErrorJson(const CallerError& aError, std::string_view aRequestId)
{
  boost::json::object error;
  error["type"] = std::string(base::ErrorName(aError.m_kind));
  error["message"] = aError.m_message;
  error["run"] = std::string(base::kOutcomeNames.Name(aError.m_outcome));
  error["request_id"] = std::string(aRequestId);
  boost::json::object whole;
  whole["error"] = std::move(error);
  return boost::json::serialize(whole);
}

net::HttpResponse
ErrorResponse(const CallerError& aError, std::string_view aRequestId)
{
  net::HttpResponse response;
  response.m_status = base::HttpStatusOf(aError.m_kind);
  response.m_body = ErrorJson(aError, aRequestId);
  response.m_headers.emplace_back("X-Chivefront-Request",
                                  std::string(aRequestId));
  if (detail::IsTransient(aError.m_kind)) {
    const base::Millis wait =
      std::max(aError.m_retryAfter, detail::kDefaultRetryAfter);
    const int64_t seconds =
      (wait.Count() + detail::kMillisPerSecond - 1) / detail::kMillisPerSecond;
    response.m_headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return response;
}

std::string
ErrorEvent(const CallerError& aError, std::string_view aRequestId)
{
  return "data: " + ErrorJson(aError, aRequestId) + "\n\n";
}

} // namespace chivefront::entry
