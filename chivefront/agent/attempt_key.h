// Identifies one attempt of one request at this agent.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chivefront::agent {

struct AttemptKey
{
  std::string m_requestId;
  uint32_t m_attempt = 0;

  auto operator<=>(const AttemptKey&) const = default;
};

} // namespace chivefront::agent
