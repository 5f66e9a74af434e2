// The table of error kinds: name, HTTP status, outcome and status code of each.
#include "chivefront/base/errors.h"

#include <absl/strings/cord.h>

#include <string>

namespace chivefront::base {
namespace detail {

struct ErrorRow
{
  ErrorKind m_kind;
  std::string_view m_name;
  int m_httpStatus;
  Outcome m_outcome;
  absl::StatusCode m_code;
};

using Code = absl::StatusCode;

constexpr ErrorRow kErrors[] = {
  { ErrorKind::None, "none", 200, Outcome::Done, Code::kOk },
  { ErrorKind::BadRequest,
    "bad_request",
    400,
    Outcome::NotRun,
    Code::kInvalidArgument },
  { ErrorKind::BadHeader,
    "bad_header",
    400,
    Outcome::NotRun,
    Code::kInvalidArgument },
  { ErrorKind::BodyTooLarge,
    "body_too_large",
    413,
    Outcome::NotRun,
    Code::kInvalidArgument },
  { ErrorKind::UnknownTeam,
    "unknown_team",
    401,
    Outcome::NotRun,
    Code::kUnauthenticated },
  { ErrorKind::NotAllowed,
    "not_allowed",
    403,
    Outcome::NotRun,
    Code::kPermissionDenied },
  { ErrorKind::UnknownModel,
    "unknown_model",
    404,
    Outcome::NotRun,
    Code::kNotFound },
  { ErrorKind::UnknownRoute,
    "unknown_route",
    404,
    Outcome::NotRun,
    Code::kNotFound },
  { ErrorKind::KeyReused,
    "key_reused",
    422,
    Outcome::NotRun,
    Code::kFailedPrecondition },
  { ErrorKind::KeyRequired,
    "key_required",
    428,
    Outcome::NotRun,
    Code::kFailedPrecondition },
  { ErrorKind::RateLimited,
    "rate_limited",
    429,
    Outcome::NotRun,
    Code::kResourceExhausted },
  { ErrorKind::Overloaded,
    "overloaded",
    503,
    Outcome::NotRun,
    Code::kResourceExhausted },
  { ErrorKind::NoUpstream,
    "no_upstream",
    503,
    Outcome::NotRun,
    Code::kUnavailable },
  { ErrorKind::VersionWithdrawn,
    "version_withdrawn",
    410,
    Outcome::NotRun,
    Code::kFailedPrecondition },
  { ErrorKind::Quarantined,
    "quarantined",
    422,
    Outcome::NotRun,
    Code::kFailedPrecondition },
  { ErrorKind::NotFresh,
    "not_fresh",
    503,
    Outcome::NotRun,
    Code::kUnavailable },
  { ErrorKind::ShuttingDown,
    "shutting_down",
    503,
    Outcome::NotRun,
    Code::kUnavailable },
  { ErrorKind::DeadlineExceeded,
    "deadline_exceeded",
    504,
    Outcome::NotRun,
    Code::kDeadlineExceeded },
  { ErrorKind::RejectedByAgent,
    "rejected_by_agent",
    503,
    Outcome::NotRun,
    Code::kUnavailable },
  { ErrorKind::InProgress,
    "in_progress",
    409,
    Outcome::Unknown,
    Code::kAborted },
  { ErrorKind::OutcomeUnknown,
    "outcome_unknown",
    409,
    Outcome::Unknown,
    Code::kAborted },
  { ErrorKind::UpstreamFailed,
    "upstream_failed",
    502,
    Outcome::Unknown,
    Code::kInternal },
  { ErrorKind::UpstreamLost,
    "upstream_lost",
    502,
    Outcome::Unknown,
    Code::kUnavailable },
  { ErrorKind::AnswerIncomplete,
    "answer_incomplete",
    502,
    Outcome::Unknown,
    Code::kDataLoss },
  { ErrorKind::BillingUnavailable,
    "billing_unavailable",
    503,
    Outcome::Unknown,
    Code::kUnavailable },
  { ErrorKind::Conflict, "conflict", 409, Outcome::NotRun, Code::kAborted },
  { ErrorKind::Invalid,
    "invalid",
    422,
    Outcome::NotRun,
    Code::kInvalidArgument },
  { ErrorKind::NotLeader,
    "not_leader",
    503,
    Outcome::NotRun,
    Code::kUnavailable },
  { ErrorKind::Unavailable,
    "unavailable",
    503,
    Outcome::Unknown,
    Code::kUnavailable },
  { ErrorKind::BadFrame, "bad_frame", 400, Outcome::Unknown, Code::kDataLoss },
  { ErrorKind::LinkClosed,
    "link_closed",
    502,
    Outcome::Unknown,
    Code::kUnavailable },
  { ErrorKind::Timeout,
    "timeout",
    504,
    Outcome::Unknown,
    Code::kDeadlineExceeded },
  { ErrorKind::AuthFailed,
    "auth_failed",
    401,
    Outcome::NotRun,
    Code::kUnauthenticated },
  { ErrorKind::StorageFailed,
    "storage_failed",
    500,
    Outcome::Unknown,
    Code::kDataLoss },
  { ErrorKind::StorageFull,
    "storage_full",
    500,
    Outcome::Unknown,
    Code::kDataLoss },
  { ErrorKind::StorageReadOnly,
    "storage_read_only",
    500,
    Outcome::Unknown,
    Code::kDataLoss },
  { ErrorKind::Corrupt, "corrupt", 500, Outcome::Unknown, Code::kDataLoss },
  { ErrorKind::Internal, "internal", 500, Outcome::Unknown, Code::kInternal },
};

constexpr const char* kPayloadUrl = "chivefront/error-kind";

const ErrorRow&
FindRow(ErrorKind aKind)
{
  for (const ErrorRow& row : kErrors) {
    if (row.m_kind == aKind) {
      return row;
    }
  }
  return kErrors[std::size(kErrors) - 1];
}

} // namespace detail

std::string_view
ErrorName(ErrorKind aKind)
{
  return detail::FindRow(aKind).m_name;
}

int
HttpStatusOf(ErrorKind aKind)
{
  return detail::FindRow(aKind).m_httpStatus;
}

Outcome
OutcomeOf(ErrorKind aKind)
{
  return detail::FindRow(aKind).m_outcome;
}

absl::Status
MakeError(ErrorKind aKind, std::string_view aMessage)
{
  const detail::ErrorRow& row = detail::FindRow(aKind);
  absl::Status status(row.m_code,
                      absl::string_view(aMessage.data(), aMessage.size()));
  status.SetPayload(
    detail::kPayloadUrl,
    absl::Cord(absl::string_view(row.m_name.data(), row.m_name.size())));
  return status;
}

ErrorKind
KindOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return ErrorKind::None;
  }
  const auto payload = aStatus.GetPayload(detail::kPayloadUrl);
  if (!payload) {
    return ErrorKind::Internal;
  }
  const std::string name(*payload);
  for (const detail::ErrorRow& row : detail::kErrors) {
    if (row.m_name == name) {
      return row.m_kind;
    }
  }
  return ErrorKind::Internal;
}

std::string_view
MessageOf(const absl::Status& aStatus)
{
  const absl::string_view message = aStatus.message();
  return { message.data(), message.size() };
}

} // namespace chivefront::base
