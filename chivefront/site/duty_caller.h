// The calls that duties make to the outside service, without its protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <variant>

#include "chivefront/base/names.h"
#include "chivefront/duty/duty.h"
#include "chivefront/net/task.h"

namespace chivefront::site {

enum class CallResult
{
  Delivered,
  RateLimited, // rejected, because too many calls were made
  Failed,      // not known whether the call took effect
  Invalid,     // rejected, and so would be each repetition
  NotSent,     // no longer permitted when the connection was open
};

inline constexpr base::NameTable<CallResult, 5> kCallResultNames{ {
  { { CallResult::Delivered, "delivered" },
    { CallResult::RateLimited, "rate_limited" },
    { CallResult::Failed, "failed" },
    { CallResult::Invalid, "invalid" },
    { CallResult::NotSent, "not_sent" } },
} };

using DutyReport = std::variant<duty::WindowUsage, duty::ScaleOrder>;

class DutyCaller
{
public:
  virtual ~DutyCaller() = default;

  // Sends aReport with the token aToken. Calls aMaySend directly before the
  // first byte is written, and writes nothing when it returns false. No byte
  // may leave this host later than duty::LeaseTimes::m_callTimeout after that.
  virtual net::Task<CallResult> Call(uint64_t aToken,
                                     DutyReport aReport,
                                     std::function<bool()> aMaySend) = 0;
};

} // namespace chivefront::site
