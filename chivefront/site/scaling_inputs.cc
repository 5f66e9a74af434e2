// Assembly of the scaler's inputs.
#include "chivefront/site/scaling_inputs.h"

#include <algorithm>

namespace chivefront::site {
namespace {

void
AddTotals(const TotalLoad& aTotal, duty::ServiceLoad& aLoad)
{
  const double slots = static_cast<double>(aLoad.m_slots) * aLoad.m_ready;
  const auto underWay = static_cast<double>(aTotal.m_underWay);
  aLoad.m_slotsInUse = std::min(underWay, slots);
  aLoad.m_waiting =
    underWay - aLoad.m_slotsInUse + static_cast<double>(aTotal.m_waiting);
  aLoad.m_answers = static_cast<double>(aTotal.m_answers);
  aLoad.m_goalsMissed = static_cast<double>(aTotal.m_goalsMissed);
}

bool
IsInRollout(const State& aState, const std::string& aService)
{
  const auto found = aState.m_rollouts.find(aService);
  return found != aState.m_rollouts.end() &&
         found->second.m_stage == RolloutStage::InProgress;
}

} // namespace

std::vector<duty::ServiceLoad>
MakeServiceLoads(const routing::Config& aConfig,
                 const routing::Registry& aRegistry,
                 const State& aState,
                 const std::map<ServiceDomain, TotalLoad>& aTotals,
                 base::TimePoint aNow)
{
  std::map<ServiceDomain, duty::ServiceLoad> loads;
  aRegistry.ForEach([&](const routing::Instance& aInstance) {
    const routing::Service* service = aConfig.FindService(aInstance.m_service);
    if (service == nullptr || !service->m_scaling ||
        aInstance.m_state != routing::InstanceState::Ready ||
        aNow - aInstance.m_reportedAt > routing::kInstanceTimeout) {
      return;
    }
    duty::ServiceLoad& load =
      loads[{ aInstance.m_service, aInstance.m_domain }];
    load.m_bounds = *service->m_scaling;
    ++load.m_ready;
    load.m_slots = std::max(load.m_slots, aInstance.m_slots);
  });
  std::vector<duty::ServiceLoad> result;
  for (auto& [subject, load] : loads) {
    load.m_service = subject.m_service;
    load.m_domain = subject.m_domain;
    load.m_inRollout = IsInRollout(aState, subject.m_service);
    if (aState.m_domainsOut.count(subject.m_domain) > 0) {
      load.m_state = duty::DomainState::Evacuated;
    }
    if (const auto total = aTotals.find(subject); total != aTotals.end()) {
      AddTotals(total->second, load);
    }
    result.push_back(std::move(load));
  }
  return result;
}

} // namespace chivefront::site
