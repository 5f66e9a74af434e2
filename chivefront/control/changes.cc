// The steps of one change: confirmation, validation, proposal, reply.
#include "chivefront/control/changes.h"

#include "chivefront/base/errors.h"

namespace chivefront::control {
namespace detail {

// Proposals of a change without an expected revision. The change is validated
// and proposed again when another change was accepted in between; after this
// many attempts the sender gets Unavailable and has to repeat it.
constexpr int kMaxAttempts = 16;

} // namespace detail

void
ChangeProcessor::Submit(wire::ChangeRequestT aChange,
                        Proposer aProposer,
                        ReplyCallback aDone)
{
  auto pending = std::make_shared<PendingChange>();
  pending->m_change = std::move(aChange);
  pending->m_proposer = aProposer;
  pending->m_done = std::move(aDone);
  // Without the confirmation, a new leader that has not yet applied all
  // committed entries would validate against an old configuration.
  m_confirmer.Confirm([this, pending](absl::StatusOr<uint64_t> aIndex) {
    if (!aIndex.ok()) {
      ReplyWithFailure(pending, aIndex.status());
      return;
    }
    m_post([this, pending] { Validate(pending); });
  });
}

void
ChangeProcessor::Validate(const PendingPointer& aPending)
{
  uint64_t base = m_store.Revision();
  const wire::ChangeRequestT& change = aPending->m_change;
  if (change.entries.empty()) {
    ReplyWithKnownOutcome(aPending);
    return;
  }
  // The store itself replies to a known change id and to an expected revision
  // that is not current, so neither is validated here.
  if (!m_store.OutcomeOf(change.change_id) &&
      (change.expected_revision == 0 || change.expected_revision == base)) {
    std::vector<std::string> errors =
      m_store.Validate(change, aPending->m_proposer, base);
    if (!errors.empty()) {
      wire::ChangeReplyT reply;
      reply.result = wire::ChangeResult::Invalid;
      reply.current_revision = base;
      reply.errors = std::move(errors);
      SendReply(aPending, std::move(reply));
      return;
    }
  }
  ++aPending->m_attempts;
  m_replica.Propose(EncodeChange(aPending->m_change, base),
                    [this, aPending](absl::StatusOr<std::string> aResult) {
                      OnProposed(aPending, aResult);
                    });
}

void
ChangeProcessor::ReplyWithKnownOutcome(const PendingPointer& aPending)
{
  wire::ChangeReplyT reply;
  if (auto known = m_store.OutcomeOf(aPending->m_change.change_id)) {
    reply = std::move(*known);
  } else {
    reply.result = wire::ChangeResult::Invalid;
    reply.current_revision = m_store.Revision();
    reply.errors.emplace_back("change_id: is not known");
  }
  SendReply(aPending, std::move(reply));
}

void
ChangeProcessor::OnProposed(const PendingPointer& aPending,
                            const absl::StatusOr<std::string>& aResult)
{
  if (!aResult.ok()) {
    ReplyWithFailure(aPending, aResult.status());
    return;
  }
  absl::StatusOr<ChangeResult> result = DecodeOutcome(*aResult);
  if (!result.ok()) {
    ReplyWithFailure(aPending, result.status());
  } else if (result->m_retry && aPending->m_attempts < detail::kMaxAttempts) {
    m_post([this, aPending] { Validate(aPending); });
  } else if (result->m_retry) {
    ReplyWithFailure(aPending,
                     base::MakeError(base::ErrorKind::Unavailable,
                                     "the configuration keeps changing"));
  } else {
    SendReply(aPending, std::move(result->m_reply));
  }
}

void
ChangeProcessor::ReplyWithFailure(const PendingPointer& aPending,
                                  const absl::Status& aWhy)
{
  wire::ChangeReplyT reply;
  reply.result = base::KindOf(aWhy) == base::ErrorKind::NotLeader
                   ? wire::ChangeResult::NotLeader
                   : wire::ChangeResult::Unavailable;
  reply.current_revision = m_store.Revision();
  reply.errors.emplace_back(base::MessageOf(aWhy));
  reply.leader = m_replica.Status().m_leader;
  SendReply(aPending, std::move(reply));
}

void
ChangeProcessor::SendReply(const PendingPointer& aPending,
                           wire::ChangeReplyT aReply)
{
  m_events.Record("change",
                  { { "change_id", aPending->m_change.change_id },
                    { "operator", aPending->m_change.operator_name },
                    { "result", wire::EnumNameChangeResult(aReply.result) },
                    { "revision", std::to_string(aReply.revision) } });
  aPending->m_done(std::move(aReply));
}

} // namespace chivefront::control
