// Scans an upstream's answer while it is relayed: removes the terminator of an
// event stream, extracts the usage, and keeps a copy where a claim needs one.
// Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace chivefront::agent {

struct Usage
{
  uint32_t m_promptTokens = 0;
  uint32_t m_answerTokens = 0;
  uint32_t m_cachedTokens = 0;
};

enum class AnswerFormat
{
  EventStream, // server-sent events of a model engine
  Json,        // complete JSON answer of a model engine
  Raw,         // any answer of a plain service
};

class AnswerScanner
{
public:
  // aKeepCopy: keep the bytes for Copy(), up to 8 MiB. A JSON answer is always
  // copied, because its usage is read at the end.
  AnswerScanner(AnswerFormat aFormat, bool aKeepCopy);

  // Scans a piece and appends the bytes to relay to aOut. BadFrame when an
  // event is larger than 1 MiB.
  absl::Status Scan(std::string_view aPiece, std::string& aOut);

  // Call after the last piece. AnswerIncomplete when an event stream ended
  // without its terminator.
  absl::Status Finish();

  // Grows with each event that has data, or with each piece of another answer.
  // Bytes without such an event are no progress of a stream.
  uint64_t Progress() const { return m_progress; }

  const Usage& GetUsage() const { return m_usage; }
  const std::string& Copy() const { return m_copy; }
  // False when the answer was too large to be copied.
  bool CopyComplete() const { return m_copyComplete; }

private:
  void ScanEvent(std::string_view aEvent, std::string& aOut);
  void AppendToCopy(std::string_view aPiece);

  const AnswerFormat m_format;
  const bool m_keepCopy;
  std::string m_partialEvent; // start of an event that is not complete yet
  std::string m_copy;
  bool m_copyComplete = true;
  bool m_terminated = false; // the terminator arrived
  uint64_t m_progress = 0;
  uint32_t m_deltaEvents = 0;
  bool m_usageReported = false; // the upstream reported its usage
  Usage m_usage;
};

} // namespace chivefront::agent
