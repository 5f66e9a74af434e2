// Separation of short and long work among the upstreams of a service
// (size-interval task assignment), so that short requests do not wait behind
// long prompts.
//
// Each entry divides the upstreams of a failure domain in proportion to the
// engine time that its own requests of the two classes take: reading a prompt
// has the engine to itself, running shares it with the other slots. Upstreams
// are ranked by rendezvous hash of their ids, so that entries with about the
// same work agree without messages. Does no I/O; not thread-safe.
//
//   classes.OnRead("llm", WorkClass::Long, 600, now);
//   classes.OnRan("llm", WorkClass::Long, 4000 / 64.0, now);
//   if (const auto division = classes.DivisionOf("llm", now)) ...
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"

namespace chivefront::routing {

enum class WorkClass
{
  Short,
  Long,
};

inline constexpr base::NameTable<WorkClass, 2> kWorkClassNames{ {
  { { WorkClass::Short, "short" }, { WorkClass::Long, "long" } },
} };

// Long if reading the whole prompt takes more than a fraction of aGoal, the
// latency goal of the service's most urgent route. 0: no goal.
WorkClass
WorkClassOf(double aReadMs, base::Millis aGoal);

// How the upstreams of a service are divided.
struct WorkDivision
{
  double m_longShare = 0;  // of the engine time, 0 to 1
  double m_longReadMs = 0; // mean time to read a long prompt
};

class WorkClasses
{
public:
  // An engine read a prompt of aService for aReadMs.
  void OnRead(const std::string& aService,
              WorkClass aClass,
              double aReadMs,
              base::TimePoint aNow);
  // An engine ran a request for aEngineMs, its share of the engine's time.
  void OnRan(const std::string& aService,
             WorkClass aClass,
             double aEngineMs,
             base::TimePoint aNow);

  // Nothing if the work of the two classes differs too little, or one of them
  // is rare.
  std::optional<WorkDivision> DivisionOf(const std::string& aService,
                                         base::TimePoint aNow) const;

private:
  // Sums of recent work, which decay.
  struct Work
  {
    double m_count = 0; // prompts read
    double m_readMs = 0;
    double m_engineMs = 0; // includes m_readMs
    base::TimePoint m_at;  // time of the last change
  };
  using WorkByClass = std::array<Work, kWorkClassNames.m_rows.size()>;

  static Work Decayed(const Work& aWork, base::TimePoint aNow);
  Work& WorkOf(const std::string& aService,
               WorkClass aClass,
               base::TimePoint aNow);

  std::map<std::string, WorkByClass> m_work; // by service
};

// An upstream in a division.
struct DividedUpstream
{
  std::string_view m_id;
  std::string_view m_domain;
};

// The class of each of aUpstreams, in their order. Nothing for all of them if
// there are too few to be divided, and for the only one of a domain.
std::vector<std::optional<WorkClass>>
DivideUpstreams(const std::vector<DividedUpstream>& aUpstreams,
                const WorkDivision& aDivision);

} // namespace chivefront::routing
