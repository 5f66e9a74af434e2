// The stages of a lease and the conditions of their transitions.
#include "chivefront/duty/lease.h"

#include <algorithm>
#include <utility>

namespace chivefront::duty {
namespace {

uint64_t
TermOf(const detail::NeverLed&)
{
  return 0;
}

template<typename Stage>
uint64_t
TermOf(const Stage& aStage)
{
  return aStage.m_term;
}

} // namespace

Lease::Lease(LeaseTimes aTimes, std::set<Duty> aDuties, uint64_t aOwner)
  : m_times(aTimes)
  , m_duties(std::move(aDuties))
  , m_owner(aOwner)
{
}

uint64_t
Lease::Term() const
{
  return std::visit([](const auto& aStage) { return TermOf(aStage); }, m_stage);
}

LeaseStage
Lease::Stage() const
{
  return m_leading ? static_cast<LeaseStage>(m_stage.index()) // same order
                   : LeaseStage::NotLeading;
}

void
Lease::Observe(std::optional<uint64_t> aLeadingTerm, base::TimePoint aNow)
{
  m_leading = aLeadingTerm.has_value();
  if (!m_leading) {
    return;
  }
  // Another process may have held the duties between two terms.
  if (*aLeadingTerm != Term()) {
    m_stage =
      detail::Waiting{ *aLeadingTerm, aNow + m_times.WaitBeforeAcquiring() };
    return;
  }
  const auto* waiting = std::get_if<detail::Waiting>(&m_stage);
  // Both points are rounded down, so equality does not prove the whole wait.
  if (waiting != nullptr && aNow > waiting->m_until) {
    m_stage = detail::Acquiring{ waiting->m_term, {} };
  }
}

std::optional<Duty>
Lease::NextToAcquire() const
{
  const auto* acquiring = std::get_if<detail::Acquiring>(&m_stage);
  if (acquiring == nullptr || !m_leading) {
    return std::nullopt;
  }
  const auto missing =
    std::find_if(m_duties.begin(), m_duties.end(), [acquiring](Duty aDuty) {
      return acquiring->m_tokens.count(aDuty) == 0;
    });
  return missing == m_duties.end() ? std::nullopt
                                   : std::optional<Duty>(*missing);
}

void
Lease::OnAcquired(uint64_t aTerm, Duty aDuty, const Holder& aHolder)
{
  auto* acquiring = std::get_if<detail::Acquiring>(&m_stage);
  if (acquiring == nullptr || acquiring->m_term != aTerm ||
      aHolder.m_owner != m_owner) {
    return;
  }
  acquiring->m_tokens[aDuty] = aHolder.m_token;
  if (acquiring->m_tokens.size() == m_duties.size()) {
    m_stage =
      detail::Holding{ aTerm, std::move(acquiring->m_tokens), std::nullopt };
  }
}

bool
Lease::AllOwn(const Holders& aHolders) const
{
  return std::all_of(m_duties.begin(), m_duties.end(), [&](Duty aDuty) {
    const auto found = aHolders.find(aDuty);
    return found != aHolders.end() && found->second.m_owner == m_owner;
  });
}

void
Lease::OnConfirmed(uint64_t aTerm,
                   base::TimePoint aBegan,
                   const Holders& aHolders)
{
  auto* holding = std::get_if<detail::Holding>(&m_stage);
  if (holding == nullptr || holding->m_term != aTerm) {
    return;
  }
  if (!AllOwn(aHolders)) {
    // No other process can acquire in this term. If the state says so all the
    // same, the duties are lost.
    m_stage = detail::Waiting{ aTerm, aBegan + m_times.WaitBeforeAcquiring() };
    return;
  }
  // An acquisition whose result was not known may have been repeated, and both
  // committed.
  for (auto& [duty, token] : holding->m_tokens) {
    token = aHolders.at(duty).m_token;
  }
  const base::TimePoint until = aBegan + m_times.m_permission;
  holding->m_permittedUntil =
    std::max(until, holding->m_permittedUntil.value_or(until));
}

std::optional<uint64_t>
Lease::MaySend(Duty aDuty, base::TimePoint aNow) const
{
  const auto* holding = std::get_if<detail::Holding>(&m_stage);
  if (holding == nullptr || !m_leading || !holding->m_permittedUntil ||
      aNow >= *holding->m_permittedUntil) {
    return std::nullopt;
  }
  const auto token = holding->m_tokens.find(aDuty);
  return token == holding->m_tokens.end() ? std::nullopt
                                          : std::optional(token->second);
}

} // namespace chivefront::duty
