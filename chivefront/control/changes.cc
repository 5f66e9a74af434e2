// The steps of one change.
#include "chivefront/control/changes.h"

#include "chivefront/base/errors.h"

namespace chivefront::control {
namespace detail {

// A change without an expected revision is validated again when another one
// was accepted in between; this many times before the sender has to repeat.
constexpr int kMaxTries = 16;

} // namespace detail

void
Changes::Submit(wire::ChangeRequestT aChange, Proposer aProposer, Done aDone)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->m_change = std::move(aChange);
  attempt->m_proposer = aProposer;
  attempt->m_done = std::move(aDone);
  // Without this a new leader that has not applied everything yet would
  // validate against an old configuration.
  m_confirmer.Confirm([this, attempt](absl::StatusOr<uint64_t> aIndex) {
    if (!aIndex.ok()) {
      Fail(attempt, aIndex.status());
      return;
    }
    m_post([this, attempt] { Validate(attempt); });
  });
}

void
Changes::Validate(const AttemptPointer& aAttempt)
{
  uint64_t base = m_store.Revision();
  const wire::ChangeRequestT& change = aAttempt->m_change;
  if (change.entries.empty()) {
    AnswerKnown(aAttempt);
    return;
  }
  // A known change id is answered by the store, and so is an expected revision
  // that is not current, whatever is valid now.
  if (!m_store.OutcomeOf(change.change_id) &&
      (change.expected_revision == 0 || change.expected_revision == base)) {
    std::vector<std::string> errors =
      m_store.Validate(change, aAttempt->m_proposer, base);
    if (!errors.empty()) {
      wire::ChangeReplyT reply;
      reply.result = wire::ChangeResult::Invalid;
      reply.current_revision = base;
      reply.errors = std::move(errors);
      Answer(aAttempt, std::move(reply));
      return;
    }
  }
  ++aAttempt->m_tries;
  m_replica.Propose(EncodeChange(aAttempt->m_change, base),
                    [this, aAttempt](absl::StatusOr<std::string> aResult) {
                      Finish(aAttempt, aResult);
                    });
}

void
Changes::AnswerKnown(const AttemptPointer& aAttempt)
{
  wire::ChangeReplyT reply;
  if (auto known = m_store.OutcomeOf(aAttempt->m_change.change_id)) {
    reply = std::move(*known);
  } else {
    reply.result = wire::ChangeResult::Invalid;
    reply.current_revision = m_store.Revision();
    reply.errors.emplace_back("change_id: is not known");
  }
  Answer(aAttempt, std::move(reply));
}

void
Changes::Finish(const AttemptPointer& aAttempt,
                const absl::StatusOr<std::string>& aResult)
{
  if (!aResult.ok()) {
    Fail(aAttempt, aResult.status());
    return;
  }
  absl::StatusOr<ChangeResult> result = DecodeOutcome(*aResult);
  if (!result.ok()) {
    Fail(aAttempt, result.status());
  } else if (result->m_retry && aAttempt->m_tries < detail::kMaxTries) {
    m_post([this, aAttempt] { Validate(aAttempt); });
  } else if (result->m_retry) {
    Fail(aAttempt,
         base::MakeError(base::ErrorKind::Unavailable,
                         "the configuration keeps changing"));
  } else {
    Answer(aAttempt, std::move(result->m_reply));
  }
}

void
Changes::Fail(const AttemptPointer& aAttempt, const absl::Status& aWhy)
{
  wire::ChangeReplyT reply;
  reply.result = base::KindOf(aWhy) == base::ErrorKind::NotLeader
                   ? wire::ChangeResult::NotLeader
                   : wire::ChangeResult::Unavailable;
  reply.current_revision = m_store.Revision();
  reply.errors.emplace_back(base::MessageOf(aWhy));
  reply.leader = m_replica.Status().m_leader;
  Answer(aAttempt, std::move(reply));
}

void
Changes::Answer(const AttemptPointer& aAttempt, wire::ChangeReplyT aReply)
{
  m_events.Record("change",
                  { { "change_id", aAttempt->m_change.change_id },
                    { "operator", aAttempt->m_change.operator_name },
                    { "result", wire::EnumNameChangeResult(aReply.result) },
                    { "revision", std::to_string(aReply.revision) } });
  aAttempt->m_done(std::move(aReply));
}

} // namespace chivefront::control
