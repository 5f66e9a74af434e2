// Exit codes of chivefrontctl. Scripts rely on their numbers.
#pragma once

#include <absl/status/status.h>

#include "chivefront/base/errors.h"

namespace chivefront::ctl {

enum class ExitCode
{
  Ok = 0,
  Failure = 1,
  Usage = 2,
  Conflict = 3,
  Invalid = 4,
  Unavailable = 5,
};

inline constexpr const char* kExitCodeHelp =
  "Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict (the revision is not "
  "current), 4 invalid, 5 unavailable (not known whether it was done; run "
  "the command again with the same --change-id).";

inline ExitCode
ExitCodeOf(const absl::Status& aStatus)
{
  switch (base::KindOf(aStatus)) {
    case base::ErrorKind::None:
      return ExitCode::Ok;
    case base::ErrorKind::BadRequest:
      return ExitCode::Usage;
    case base::ErrorKind::Conflict:
      return ExitCode::Conflict;
    case base::ErrorKind::Invalid:
      return ExitCode::Invalid;
    case base::ErrorKind::Unavailable:
    case base::ErrorKind::Timeout:
    case base::ErrorKind::LinkClosed:
    case base::ErrorKind::NotLeader:
    case base::ErrorKind::NotFresh:
      return ExitCode::Unavailable;
    default:
      return ExitCode::Failure;
  }
}

} // namespace chivefront::ctl
