// Counts of requests by service and failure domain.
#include "chivefront/proxy/load_counter.h"

#include <utility>

namespace chivefront::proxy {

LoadCounter::Scope::Scope(std::shared_ptr<site::EntryLoad> aLoad,
                          uint32_t site::EntryLoad::*aCount)
  : m_load(std::move(aLoad))
  , m_count(aCount)
{
  if (m_load) {
    ++((*m_load).*m_count);
  }
}

LoadCounter::Scope::~Scope()
{
  if (m_load) {
    --((*m_load).*m_count);
  }
}

// Null if the service is not scaled.
std::shared_ptr<site::EntryLoad>
LoadCounter::FindOrAdd(const routing::Service& aService,
                       const std::string& aDomain)
{
  if (!aService.m_scaling) {
    return nullptr;
  }
  const site::ServiceDomain subject{ aService.m_name, aDomain };
  std::shared_ptr<site::EntryLoad>& load = m_loads[subject];
  if (!load) {
    load = std::make_shared<site::EntryLoad>();
    load->m_subject = subject;
  }
  return load;
}

LoadCounter::Scope
LoadCounter::CountUnderWay(const routing::Service& aService,
                           const std::string& aDomain)
{
  return { FindOrAdd(aService, aDomain), &site::EntryLoad::m_underWay };
}

LoadCounter::Scope
LoadCounter::CountWaiting(const routing::Service& aService,
                          const std::string& aDomain)
{
  return { FindOrAdd(aService, aDomain), &site::EntryLoad::m_waiting };
}

void
LoadCounter::RecordAnswer(const routing::Service& aService,
                          const std::string& aDomain,
                          bool aMissedGoal)
{
  if (const auto load = FindOrAdd(aService, aDomain)) {
    ++load->m_answers;
    load->m_goalsMissed += aMissedGoal ? 1 : 0;
  }
}

std::vector<site::EntryLoad>
LoadCounter::Rows(const routing::Config& aConfig) const
{
  std::vector<site::EntryLoad> rows;
  for (const auto& [subject, load] : m_loads) {
    const routing::Service* service = aConfig.FindService(subject.m_service);
    if (service != nullptr && service->m_scaling) {
      rows.push_back(*load);
    }
  }
  return rows;
}

} // namespace chivefront::proxy
