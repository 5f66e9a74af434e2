// Calls of the answer rating service.
#pragma once

#include <optional>
#include <string>

#include "chivefront/base/settings.h"
#include "chivefront/net/http_client.h"

namespace chivefront::entry {

struct RatingInput
{
  std::string m_requestId;
  std::string m_task;
  std::string m_version;
  std::string m_prompt;
  std::string m_answer;
};

// The text of an engine's whole answer, or of the events of a streamed one;
// empty when there is none. aBody may be cut at its end when streamed.
std::string
AnswerText(std::string_view aBody);
std::string
StreamedAnswerText(std::string_view aEvents);

class RatingClient
{
public:
  // Without an endpoint every rating is Unavailable.
  RatingClient(std::optional<base::Endpoint> aEndpoint, base::Millis aTimeout)
    : m_endpoint(std::move(aEndpoint))
    , m_timeout(aTimeout)
  {
  }

  bool Configured() const { return m_endpoint.has_value(); }
  // Whether the answer is acceptable. Unavailable when the service does not
  // give a verdict in time.
  net::Task<absl::StatusOr<bool>> Rate(const RatingInput& aInput) const;

private:
  const std::optional<base::Endpoint> m_endpoint;
  const base::Millis m_timeout;
};

} // namespace chivefront::entry
