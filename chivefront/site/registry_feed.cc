// Answers about upstreams, in the form that the asker understands.
#include "chivefront/site/registry_feed.h"

#include "chivefront/site/messages.h"

namespace chivefront::site {
namespace detail {

void
AddUpstream(const routing::Instance& aInstance,
            base::TimePoint aNow,
            wire::WatchReplyT& aReply)
{
  aReply.upstreams.push_back(
    std::make_unique<wire::UpstreamInfoT>(ToWire(aInstance, aNow)));
}

void
AddSilent(const routing::Instance& aInstance,
          base::TimePoint aNow,
          wire::WatchReplyT& aReply)
{
  auto row = std::make_unique<wire::SilentUpstreamT>();
  row->name = aInstance.m_id;
  row->born = aInstance.m_born;
  row->age_ms = static_cast<uint32_t>((aNow - aInstance.m_reportedAt).Count());
  aReply.silent.push_back(std::move(row));
}

} // namespace detail

void
AnswerRegistry(routing::Registry& aRegistry,
               uint64_t aEpoch,
               const wire::WatchRequestT& aRequest,
               base::TimePoint aNow,
               wire::WatchReplyT& aReply)
{
  const bool known = aRequest.registry_epoch == aEpoch;
  const uint64_t since = known ? aRequest.registry_sequence : 0;
  aReply.registry_epoch = aEpoch;
  if (!aRequest.omit_renewals) { // an entry of an older release
    for (const routing::Instance& instance : aRegistry.ChangedSince(since)) {
      detail::AddUpstream(instance, aNow, aReply);
    }
    aReply.registry_sequence = aRegistry.Sequence();
    return;
  }
  const routing::RegistryNews news =
    aRegistry.NewsSince({ since, aRequest.registry_floor }, aNow);
  aReply.omits_renewals = true;
  aReply.registry_snapshot = news.m_whole;
  aReply.registry_floor = news.m_whole ? aRegistry.Sequence() : 0;
  aReply.fresh_ms = static_cast<uint32_t>(news.m_freshness.Count());
  for (const routing::Instance* instance : news.m_changed) {
    detail::AddUpstream(*instance, aNow, aReply);
  }
  for (const routing::Instance* instance : news.m_silent) {
    detail::AddSilent(*instance, aNow, aReply);
  }
  aReply.registry_sequence = news.m_sequence;
  aReply.registry_more = news.m_sequence != aRegistry.Sequence();
}

void
RegistryFeed::Ask(wire::WatchRequestT& aRequest) const
{
  aRequest.registry_epoch = m_epoch;
  aRequest.registry_sequence = m_sequence;
  aRequest.registry_floor = m_floor;
  aRequest.omit_renewals = true;
}

// Ages count back from aPolledAt where they vouch for an upstream: an answer
// that waited here while this process stood still must not renew it.
void
RegistryFeed::Accept(const wire::WatchReplyT& aReply,
                     base::TimePoint aPolledAt,
                     base::TimePoint aNow,
                     routing::Registry& aRegistry)
{
  const bool vouches = aReply.omits_renewals;
  if (!vouches || aReply.registry_snapshot ||
      aReply.registry_epoch != m_epoch) {
    aRegistry.StopVouching();
  }
  if (aReply.registry_epoch != m_epoch) {
    m_inStep = true;
  }
  for (const auto& info : aReply.upstreams) {
    routing::Instance record;
    if (!FromWire(*info, aNow, record)) {
      m_log.Record("instance_unreadable",
                   base::LogCategory::Failure,
                   { { "upstream", info->name } });
    } else if (vouches) {
      m_inStep = aRegistry.MergeVouched(record) && m_inStep;
    } else {
      (void)aRegistry.Merge(record); // an outdated record is no error
    }
  }
  for (const auto& row : aReply.silent) {
    aRegistry.NoteSilent(
      row->name, row->born, aPolledAt - base::Millis(row->age_ms));
  }
  if (vouches) {
    aRegistry.Renew(aPolledAt - base::Millis(aReply.fresh_ms));
  }
  m_epoch = aReply.registry_epoch;
  if (aReply.registry_snapshot) {
    m_floor = aReply.registry_floor;
  }
  m_sequence = aReply.registry_sequence;
  if (!m_inStep && !aReply.registry_more) {
    m_sequence = 0;
    m_inStep = true;
  }
}

} // namespace chivefront::site
