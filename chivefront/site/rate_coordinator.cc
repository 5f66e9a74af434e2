// Answers of a control process about request limits and permits.
#include "chivefront/site/rate_coordinator.h"

namespace chivefront::site {
namespace detail {

// A dropped bound starts with one permit, so it must not be dropped between two
// requests of a slow one.
constexpr base::Millis kDemandRetention{ 10000 };

// The name of a poller without the number of its incarnation.
std::string
ProcessOf(const std::string& aHolder)
{
  return aHolder.substr(0, aHolder.find('#'));
}

} // namespace detail

void
RateCoordinator::Answer(const wire::WatchRequestT& aRequest,
                        bool aIsLeader,
                        base::TimePoint aNow,
                        wire::WatchReplyT& aReply)
{
  for (const auto& limit : FromWire(aRequest.request_limits, aNow)) {
    (void)m_limits.Record(limit);
  }
  aReply.request_limits = ToWire(m_limits.All(), aNow);
  m_issuer.RecordPoll(
    detail::ProcessOf(aRequest.holder), aRequest.live_entries, aNow);
  if (!aIsLeader) {
    return;
  }
  std::vector<routing::PermitGrant> grants;
  for (routing::PermitRequest request : FromWire(aRequest.permits)) {
    // The entry may have heard of an older limit.
    if (const auto bound = m_limits.FindBound(request.m_bound.m_key)) {
      request.m_bound = *bound;
    }
    grants.push_back({ request.m_bound.m_key,
                       m_issuer.Issue(aRequest.holder, request, aNow) });
  }
  aReply.permits = ToWire(grants);
}

void
RateCoordinator::Expire(const routing::Registry& aRegistry,
                        base::TimePoint aNow)
{
  m_limits.ExpireUnregistered(aRegistry, aNow);
  m_issuer.Expire(aNow - detail::kDemandRetention);
}

} // namespace chivefront::site
