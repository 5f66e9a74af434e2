// Reads an upstream's answer on its way through: keeps back the terminator of
// an event stream, finds the usage, and keeps a copy where a claim needs one.
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
  EventStream, // SSE of a model engine
  Json,        // whole answer of a model engine
  Raw,         // anything of a plain service
};

class AnswerScanner
{
public:
  // aKeepCopy: keep the bytes for Copy(), up to a bound.
  AnswerScanner(AnswerFormat aFormat, bool aKeepCopy);

  // Takes a piece and appends what may be passed on to aOut. BadFrame when an
  // event is larger than the bound.
  absl::Status Scan(std::string_view aPiece, std::string& aOut);

  // After the last piece: AnswerIncomplete when the upstream ended the body
  // before the answer was complete.
  absl::Status Finish();

  const Usage& GetUsage() const { return m_usage; }
  const std::string& Copy() const { return m_copy; }
  // False when the answer did not fit into the copy.
  bool CopyComplete() const { return m_copyComplete; }

private:
  void ScanEvent(std::string_view aEvent, std::string& aOut);
  void AppendToCopy(std::string_view aPiece);

  const AnswerFormat m_format;
  const bool m_keepCopy;
  std::string m_partialEvent; // begin of an event whose end has not arrived
  std::string m_copy;
  bool m_copyComplete = true;
  bool m_terminated = false; // the terminator was seen
  uint32_t m_deltaEvents = 0;
  bool m_usageReported = false; // the upstream itself gave the usage
  Usage m_usage;
};

} // namespace chivefront::agent
