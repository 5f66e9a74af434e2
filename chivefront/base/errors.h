// Typed failures. A failure travels as an absl::Status whose payload names an
// ErrorKind; the message is for people and is never parsed.
//
//   return base::MakeError(base::ErrorKind::UnknownTeam, "key not registered");
//   ...
//   if (base::KindOf(status) == base::ErrorKind::Conflict) ...
//
// Every kind says what is known about the request it ended (base::Outcome):
// only kinds that are certain carry NotRun.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "chivefront/base/names.h"

namespace chivefront::base {

// What is known about the effect of a request on an upstream. Any doubt is
// Unknown.
enum class Outcome
{
  Unknown,
  NotRun,
  Done,
};

inline constexpr NameTable<Outcome, 3> kOutcomeNames{ {
  { { Outcome::Unknown, "unknown" },
    { Outcome::NotRun, "not_run" },
    { Outcome::Done, "done" } },
} };

enum class ErrorKind
{
  None,
  // Bad input.
  BadRequest,
  BadHeader,
  BodyTooLarge,
  UnknownTeam,
  NotAllowed,
  UnknownModel,
  UnknownRoute,
  KeyReused,
  KeyRequired,
  // Refusals that are certain that nothing ran.
  RateLimited,
  Overloaded,
  NoUpstream,
  VersionWithdrawn,
  Quarantined,
  NotFresh,
  ShuttingDown,
  DeadlineExceeded,
  RejectedByAgent,
  // Results of claims.
  InProgress,
  OutcomeUnknown,
  // Failures after dispatch.
  UpstreamFailed,
  UpstreamLost,
  AnswerIncomplete,
  BillingUnavailable,
  // Control plane.
  Conflict,
  Invalid,
  NotLeader,
  Unavailable,
  // Links and frames.
  BadFrame,
  LinkClosed,
  Timeout,
  AuthFailed,
  // Local resources.
  StorageFailed,
  Corrupt,
  Internal,
};

std::string_view
ErrorName(ErrorKind aKind);

// The HTTP status a caller sees for a failure of this kind.
int
HttpStatusOf(ErrorKind aKind);

// What a failure of this kind proves about the request: NotRun only for
// kinds raised strictly before anything was sent to an upstream.
Outcome
OutcomeOf(ErrorKind aKind);

absl::Status
MakeError(ErrorKind aKind, std::string_view aMessage);

// ErrorKind::None for an OK status, Internal for a status without a payload.
ErrorKind
KindOf(const absl::Status& aStatus);

// The message of aStatus as a std::string_view valid as long as aStatus.
std::string_view
MessageOf(const absl::Status& aStatus);

} // namespace chivefront::base
