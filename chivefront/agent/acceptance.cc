// Implements the checks of a dispatch, the cheapest first.
#include "chivefront/agent/acceptance.h"

#include "chivefront/base/errors.h"

namespace chivefront::agent {
namespace detail {

absl::Status
CheckServed(const wire::DispatchT& aDispatch,
            const UpstreamDescription& aUpstream)
{
  const bool plain = aUpstream.m_kind == wire::UpstreamKind::Plain;
  if (plain != !aDispatch.service.empty()) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "upstream is of another kind");
  }
  if (plain && aDispatch.service != aUpstream.m_service) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "upstream serves another service");
  }
  if (!plain && aDispatch.version != aUpstream.m_version) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "upstream serves another version");
  }
  return absl::OkStatus();
}

} // namespace detail

absl::Status
CheckDispatch(const catalog::Catalog& aCatalog,
              const wire::DispatchT& aDispatch,
              const UpstreamDescription& aUpstream,
              std::string_view aFailureDomain)
{
  if (aUpstream.m_leaving) {
    return base::MakeError(base::ErrorKind::ShuttingDown,
                           "upstream is leaving");
  }
  if (absl::Status status = detail::CheckServed(aDispatch, aUpstream);
      !status.ok()) {
    return status;
  }
  if (absl::Status status =
        catalog::CheckInService(aCatalog, aUpstream.m_name, aFailureDomain);
      !status.ok()) {
    return status;
  }
  if (aCatalog.m_quarantined.count(aDispatch.fingerprint) != 0) {
    return base::MakeError(base::ErrorKind::Quarantined,
                           "request crashed several upstreams");
  }
  if (aUpstream.m_kind == wire::UpstreamKind::Plain) {
    return catalog::CheckServiceAllowed(
      aCatalog, aDispatch.team, aDispatch.service);
  }
  return catalog::CheckVersionAllowed(
    aCatalog, aDispatch.team, aDispatch.version);
}

catalog::CallerClass
QueueClass(const catalog::Catalog& aCatalog, const wire::DispatchT& aDispatch)
{
  const catalog::Team* team = aCatalog.FindTeam(aDispatch.team);
  const bool paying = team != nullptr &&
                      team->m_class == catalog::CallerClass::Paying &&
                      aDispatch.caller_class == wire::CallerClass::Paying;
  return paying ? catalog::CallerClass::Paying : catalog::CallerClass::Free;
}

} // namespace chivefront::agent
