// Typed errors. An error is an absl::Status whose payload names an ErrorKind;
// its message is for people and is never parsed.
//
//   return base::MakeError(base::ErrorKind::UnknownTeam, "key not registered");
//   ...
//   if (base::KindOf(status) == base::ErrorKind::Conflict) ...
//
// Each kind has a base::Outcome, which says what is known about the effect of
// the request that failed. Only a kind that proves that nothing ran has
// Outcome::NotRun.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "chivefront/base/names.h"

namespace chivefront::base {

// What is known about the effect of a request on an upstream. Unknown covers
// every case that is not proven.
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
  // Rejections before dispatch: the request certainly did not run.
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
  StorageFull, // the disk takes no more bytes; nothing else is wrong with it
  StorageReadOnly, // the folder may not be written by this process
  Corrupt,
  Internal,
};

// The name that callers and peers see, as in the table of errors.cc.
std::string_view
ErrorName(ErrorKind aKind);

// The HTTP status of the answer to a caller for an error of this kind.
int
HttpStatusOf(ErrorKind aKind);

// What an error of this kind proves about the request: NotRun only for
// kinds that are raised strictly before anything is sent to an upstream.
Outcome
OutcomeOf(ErrorKind aKind);

absl::Status
MakeError(ErrorKind aKind, std::string_view aMessage);

// ErrorKind::None for an OK status, Internal for a status without a payload.
ErrorKind
KindOf(const absl::Status& aStatus);

// The message of aStatus as a std::string_view, which is valid as long as
// aStatus lives.
std::string_view
MessageOf(const absl::Status& aStatus);

} // namespace chivefront::base
