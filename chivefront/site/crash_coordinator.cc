// Reports in, suspects and quarantined causes out.
#include "chivefront/site/crash_coordinator.h"

#include "chivefront/site/messages.h"

namespace chivefront::site {
namespace detail {

// Bounds the work for suspect causes of crashes when many entries poll.
constexpr base::Millis kCrashJudgePeriod{ 100 };

} // namespace detail

void
CrashCoordinator::Answer(const wire::WatchRequestT& aRequest,
                         const routing::Registry& aRegistry,
                         base::Millis aRegistrationDelay,
                         base::TimePoint aNow,
                         wire::WatchReplyT& aReply)
{
  m_quarantine.SetRegistrationDelay(aRegistrationDelay);
  m_quarantine.Adopt(FromWire(aRequest.quarantined_parts, aNow));
  m_quarantine.Record(ReadCrashReport(aRequest, aNow));
  if (aNow - m_judgedAt >= detail::kCrashJudgePeriod) {
    m_judgedAt = aNow;
    Judge(aRegistry, aNow, aRequest.holder);
  }
  for (const routing::CauseKey cause : m_quarantine.Suspects()) {
    aReply.suspect_parts.push_back(cause);
  }
  aReply.quarantined_parts = ToWire(m_quarantine.Quarantined(), aNow);
}

void
CrashCoordinator::Judge(const routing::Registry& aRegistry,
                        base::TimePoint aNow,
                        const std::string& aEntry)
{
  m_quarantine.OnRegistry(aRegistry);
  for (const routing::CrashCause& cause : m_quarantine.Update(aNow)) {
    m_log.Record(
      cause.m_wholeRequest ? "request_quarantined" : "prompt_part_quarantined",
      base::LogCategory::State,
      { { cause.m_wholeRequest ? "fingerprint" : "part", cause.m_key },
        { "entry", aEntry } });
  }
}

} // namespace chivefront::site
