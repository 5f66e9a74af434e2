// Client of the rating service, which judges whether an answer is acceptable.
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

// The text of an engine's answer that was not streamed; empty when it has none.
std::string
AnswerText(std::string_view aBody);

// The text of the server-sent events of a streamed answer; empty when they have
// none. An incomplete event at the end of aEvents is ignored.
std::string
StreamedAnswerText(std::string_view aEvents);

class RatingClient
{
public:
  // Without aEndpoint every call of Rate returns Unavailable. aTimeout applies
  // to each step of a call: connecting, the header, each piece of the body.
  RatingClient(std::optional<base::Endpoint> aEndpoint, base::Millis aTimeout)
    : m_endpoint(std::move(aEndpoint))
    , m_timeout(aTimeout)
  {
  }

  bool Configured() const { return m_endpoint.has_value(); }
  // True when the service finds the answer acceptable. Unavailable when the
  // service gives no verdict in time.
  net::Task<absl::StatusOr<bool>> Rate(const RatingInput& aInput) const;

private:
  const std::optional<base::Endpoint> m_endpoint;
  const base::Millis m_timeout;
};

} // namespace chivefront::entry
