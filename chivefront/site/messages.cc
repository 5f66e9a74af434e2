// Conversion to and from watch messages.
#include "chivefront/site/messages.h"

#include <algorithm>
#include <charconv>

#include <absl/strings/str_split.h>

#include "chivefront/base/errors.h"

namespace chivefront::site {
namespace {

constexpr char kDocumentPrefix[] = "document/";
constexpr char kDomainPrefix[] = "out/domain/";
constexpr char kRolloutPrefix[] = "rollout/";

uint32_t
MillisUntil(base::TimePoint aWhen, base::TimePoint aNow)
{
  return static_cast<uint32_t>(std::max<int64_t>(0, (aWhen - aNow).Count()));
}

void
Add(ConfigEntries& aEntries, std::string aKey, std::string aValue)
{
  auto entry = std::make_unique<wire::ConfigEntryT>();
  entry->key = std::move(aKey);
  entry->value = std::move(aValue);
  aEntries.push_back(std::move(entry));
}

// The rest of aKey after aPrefix, or empty if aKey has another prefix.
std::string
SuffixAfter(const std::string& aKey, const std::string& aPrefix)
{
  return aKey.compare(0, aPrefix.size(), aPrefix) == 0
           ? aKey.substr(aPrefix.size())
           : std::string();
}

bool
ReadNumber(absl::string_view aText, int64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, aNumber);
  return error == std::errc() && stop == end;
}

// "STAGE SPAN_MS ELAPSED_MS ORDERED_AT VERSION"
bool
ReadRollout(const std::string& aText, base::TimePoint aNow, Rollout& aRollout)
{
  const std::vector<std::string> words =
    absl::StrSplit(aText, absl::MaxSplits(' ', 4));
  int64_t span = 0;
  int64_t elapsed = 0;
  int64_t orderedAt = 0;
  if (words.size() != 5 || !ReadNumber(words[1], span) ||
      !ReadNumber(words[2], elapsed) || !ReadNumber(words[3], orderedAt)) {
    return false;
  }
  const auto stage = kRolloutStageNames.Find(words[0]);
  if (!stage) {
    return false;
  }
  aRollout.m_stage = *stage;
  aRollout.m_span = base::Millis(span);
  aRollout.m_started = aNow - base::Millis(elapsed);
  aRollout.m_orderedAt = orderedAt;
  aRollout.m_version = words[4];
  return true;
}

} // namespace

wire::UpstreamInfoT
ToWire(const routing::Instance& aInstance, base::TimePoint aNow)
{
  wire::UpstreamInfoT info;
  info.name = aInstance.m_id;
  info.service = aInstance.m_service;
  info.address = aInstance.m_address.ToString();
  info.failure_domain = aInstance.m_domain;
  info.version = aInstance.m_version;
  info.slots = aInstance.m_slots;
  info.leaving = aInstance.m_state != routing::InstanceState::Ready;
  info.removed = aInstance.m_state == routing::InstanceState::Gone;
  info.born = aInstance.m_born;
  info.sequence = aInstance.m_sequence;
  info.warmup_ms = MillisUntil(aInstance.m_coldUntil, aNow);
  info.age_ms = MillisUntil(aNow, aInstance.m_reportedAt);
  return info;
}

bool
FromWire(const wire::UpstreamInfoT& aInfo,
         base::TimePoint aNow,
         routing::Instance& aInstance)
{
  const auto address = base::Endpoint::Parse(aInfo.address);
  // The end of an upstream may be all that is known of it.
  if (!address && !aInfo.removed) {
    return false;
  }
  aInstance.m_id = aInfo.name;
  aInstance.m_service = aInfo.service;
  aInstance.m_address = address.value_or(base::Endpoint());
  aInstance.m_domain = aInfo.failure_domain;
  aInstance.m_version = aInfo.version;
  aInstance.m_slots = aInfo.slots;
  aInstance.m_state = aInfo.removed   ? routing::InstanceState::Gone
                      : aInfo.leaving ? routing::InstanceState::Draining
                                      : routing::InstanceState::Ready;
  aInstance.m_born = aInfo.born;
  aInstance.m_sequence = aInfo.sequence;
  aInstance.m_reportedAt = aNow - base::Millis(aInfo.age_ms);
  aInstance.m_coldUntil = aInfo.warmup_ms > 0
                            ? aNow + base::Millis(aInfo.warmup_ms)
                            : aInstance.m_reportedAt;
  return true;
}

ConfigEntries
ToEntries(const State& aState, uint64_t aHaveNumber, base::TimePoint aNow)
{
  ConfigEntries entries;
  if (aState.m_document && aState.m_number > aHaveNumber) {
    Add(entries,
        kDocumentPrefix + std::to_string(aState.m_number),
        *aState.m_document);
  }
  for (const std::string& domain : aState.m_domainsOut) {
    Add(entries, kDomainPrefix + domain, "");
  }
  for (const auto& [service, rollout] : aState.m_rollouts) {
    std::string value(kRolloutStageNames.Name(rollout.m_stage));
    value += " " + std::to_string(rollout.m_span.Count());
    value += " " + std::to_string((aNow - rollout.m_started).Count());
    value += " " + std::to_string(rollout.m_orderedAt);
    value += " " + rollout.m_version;
    Add(entries, kRolloutPrefix + service, std::move(value));
  }
  return entries;
}

absl::Status
FromEntries(const ConfigEntries& aEntries, base::TimePoint aNow, State& aState)
{
  for (const auto& entry : aEntries) {
    const std::string& key = entry->key;
    if (const std::string number = SuffixAfter(key, kDocumentPrefix);
        !number.empty()) {
      int64_t value = 0;
      if (!ReadNumber(number, value)) {
        return base::MakeError(base::ErrorKind::Invalid,
                               "invalid document number");
      }
      aState.m_number = static_cast<uint64_t>(value);
      aState.m_document = std::make_shared<const std::string>(entry->value);
    } else if (const std::string domain = SuffixAfter(key, kDomainPrefix);
               !domain.empty()) {
      aState.m_domainsOut.insert(domain);
    } else if (const std::string service = SuffixAfter(key, kRolloutPrefix);
               !service.empty()) {
      Rollout rollout;
      if (!ReadRollout(entry->value, aNow, rollout)) {
        return base::MakeError(base::ErrorKind::Invalid,
                               "invalid roll-out of service " + service);
      }
      aState.m_rollouts[service] = rollout;
    }
  }
  return absl::OkStatus();
}

namespace {

uint32_t
AgeMillis(base::TimePoint aTime, base::TimePoint aNow)
{
  return static_cast<uint32_t>(std::max<int64_t>(0, (aNow - aTime).Count()));
}

using TimesOfCauses = std::map<routing::CauseKey, base::TimePoint>;
using PartSeenRows = std::vector<std::unique_ptr<wire::PartSeenT>>;

PartSeenRows
ToSeenRows(const TimesOfCauses& aTimes, base::TimePoint aNow)
{
  PartSeenRows rows;
  for (const auto& [cause, time] : aTimes) {
    auto row = std::make_unique<wire::PartSeenT>();
    row->part = cause;
    row->age_ms = AgeMillis(time, aNow);
    rows.push_back(std::move(row));
  }
  return rows;
}

TimesOfCauses
FromSeenRows(const PartSeenRows& aRows, base::TimePoint aNow)
{
  TimesOfCauses times;
  for (const auto& row : aRows) {
    times[row->part] = aNow - base::Millis(row->age_ms);
  }
  return times;
}

} // namespace

void
AddCrashReport(const routing::CrashReport& aReport,
               base::TimePoint aNow,
               wire::WatchRequestT& aRequest)
{
  for (const routing::CrashLoss& loss : aReport.m_losses) {
    auto row = std::make_unique<wire::PartLossT>();
    row->part = loss.m_cause;
    row->upstream = loss.m_attempt.m_upstream;
    row->request = loss.m_attempt.m_request;
    row->head_read = loss.m_attempt.m_headRead;
    row->sent_age_ms = AgeMillis(loss.m_attempt.m_sentAt, aNow);
    row->lost_age_ms = AgeMillis(loss.m_attempt.m_lostAt, aNow);
    row->whole_request = loss.m_wholeRequest;
    row->answer_begun = loss.m_attempt.m_answerBegun;
    aRequest.part_losses.push_back(std::move(row));
  }
  aRequest.parts_begun = ToSeenRows(aReport.m_begun, aNow);
  aRequest.parts_survived = ToSeenRows(aReport.m_survived, aNow);
}

routing::CrashReport
ReadCrashReport(const wire::WatchRequestT& aRequest, base::TimePoint aNow)
{
  routing::CrashReport report;
  for (const auto& row : aRequest.part_losses) {
    const routing::LostAttempt attempt{ row->upstream,
                                        row->request,
                                        row->head_read,
                                        row->answer_begun,
                                        aNow - base::Millis(row->sent_age_ms),
                                        aNow - base::Millis(row->lost_age_ms) };
    report.m_losses.push_back({ row->part, attempt, row->whole_request });
  }
  report.m_begun = FromSeenRows(aRequest.parts_begun, aNow);
  report.m_survived = FromSeenRows(aRequest.parts_survived, aNow);
  return report;
}

QuarantinedRows
ToWire(const routing::QuarantinedCauses& aCauses, base::TimePoint aNow)
{
  QuarantinedRows rows;
  for (const auto& [cause, until] : aCauses) {
    auto row = std::make_unique<wire::QuarantinedPartT>();
    row->part = cause;
    row->remaining_ms = AgeMillis(aNow, until);
    rows.push_back(std::move(row));
  }
  return rows;
}

routing::QuarantinedCauses
FromWire(const QuarantinedRows& aRows, base::TimePoint aNow)
{
  routing::QuarantinedCauses parts;
  for (const auto& row : aRows) {
    parts[row->part] = aNow + base::Millis(row->remaining_ms);
  }
  return parts;
}

} // namespace chivefront::site
