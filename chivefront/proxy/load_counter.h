// Counts the requests of one entry to the services that may be scaled, by
// failure domain of the upstream. Counts nothing for other services.
//
//   const LoadCounter::Scope underWay = loads.CountUnderWay(service, domain);
//   ... the request counts until underWay goes out of scope ...
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivefront/routing/config.h"
#include "chivefront/site/load_collector.h"

namespace chivefront::proxy {

class LoadCounter
{
public:
  // Owns what it counts in, because a request may end after the counter.
  class Scope
  {
  public:
    Scope(std::shared_ptr<site::EntryLoad> aLoad,
          uint32_t site::EntryLoad::*aCount);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    const std::shared_ptr<site::EntryLoad> m_load; // null: not counted
    uint32_t site::EntryLoad::*const m_count;
  };

  Scope CountUnderWay(const routing::Service& aService,
                      const std::string& aDomain);
  // aDomain is that of the entry, as no upstream is chosen.
  Scope CountWaiting(const routing::Service& aService,
                     const std::string& aDomain);
  // An answer began, or the request was refused for lack of room.
  void RecordAnswer(const routing::Service& aService,
                    const std::string& aDomain,
                    bool aMissedGoal);

  std::vector<site::EntryLoad> Rows(const routing::Config& aConfig) const;

private:
  std::shared_ptr<site::EntryLoad> FindOrAdd(const routing::Service& aService,
                                             const std::string& aDomain);

  std::map<site::ServiceDomain, std::shared_ptr<site::EntryLoad>> m_loads;
};

} // namespace chivefront::proxy
