// What a control process does with the reports of entries on crashed upstreams:
// it decides which requests and prompt parts are quarantined, and tells the
// entries with the answers to their polls.
//
//   coordinator.Answer(poll, registry, registrationDelay, now, reply);
#pragma once

#include "chivefront/base/decision_log.h"
#include "chivefront/routing/crash_quarantine.h"
#include "chivefront/routing/registry.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Not thread-safe.
class CrashCoordinator
{
public:
  explicit CrashCoordinator(base::DecisionLog& aLog)
    : m_log(aLog)
  {
  }

  // Takes in the report of a poll and fills in the answer. All entries poll the
  // leader, so it sees all losses. The entries repeat what is quarantined, so
  // that a new leader knows it too. aRegistrationDelay: how much later than at
  // its upstream a registration may arrive in aRegistry.
  void Answer(const wire::WatchRequestT& aRequest,
              const routing::Registry& aRegistry,
              base::Millis aRegistrationDelay,
              base::TimePoint aNow,
              wire::WatchReplyT& aReply);

private:
  void Judge(const routing::Registry& aRegistry,
             base::TimePoint aNow,
             const std::string& aEntry);

  base::DecisionLog& m_log;
  routing::CrashQuarantine m_quarantine;
  base::TimePoint m_judgedAt; // last update of m_quarantine
};

} // namespace chivefront::site
