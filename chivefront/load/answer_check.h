// Checks that an answer is complete and belongs to its request. Does no I/O.
//
//   StreamCheck check(expected);
//   for each part of the body: check.Feed(part);
//   CheckResult result = check.Finish(endedCleanly);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefront::load {

// What is known about the correct answer.
struct ExpectedAnswer
{
  // The prompt as the fake engine receives it, and the seed of the engine. The
  // words of the answer aren't checked without a seed.
  std::string m_prompt;
  std::optional<uint64_t> m_engineSeed;
};

// What the check of one answer found.
struct CheckResult
{
  bool m_complete = false; // the whole answer came, with its end marker
  std::string m_error;     // type of the error that the caller received
  std::string m_run;       // with m_error: not_run, done or unknown
  std::string m_violation; // what is wrong with the answer, or empty
  std::string m_text;      // the words of the answer
  uint64_t m_costMicros = 0;
  std::string m_version; // of the model, from the trailer of a stream
};

// Returns the first aCount words of the fake engine's answer to aPrompt.
std::string
EngineWords(std::string_view aPrompt, uint64_t aSeed, size_t aCount);

// Checks that aText has aTokens words, and that they are the expected ones.
// Returns the violation; empty when there is none.
std::string
CheckAnswerWords(const std::string& aText,
                 size_t aTokens,
                 const ExpectedAnswer& aExpected);

// Checks a streamed answer, a sequence of server-sent events.
class StreamCheck
{
public:
  explicit StreamCheck(ExpectedAnswer aExpected)
    : m_expected(std::move(aExpected))
  {
  }

  // Takes the next bytes of the body and returns the number of tokens in the
  // events that they complete.
  size_t Feed(std::string_view aPart);
  // aEndedCleanly is false when the connection was lost before the end of the
  // response.
  CheckResult Finish(bool aEndedCleanly);
  // From the trailer, the last event before the end marker. Empty for answers
  // of an engine, which sends no trailer.
  const std::string& RequestId() const { return m_requestId; }

private:
  // Returns the number of tokens in the event.
  size_t OnEvent(std::string_view aData);

  const ExpectedAnswer m_expected;
  std::string m_partialEvent;            // received so far of the next event
  std::optional<uint64_t> m_usageTokens; // answer tokens, from the usage event
  std::string m_requestId;
  CheckResult m_result;
};

// Checks a JSON answer of status 200 that isn't streamed.
CheckResult
CheckBufferedAnswer(const std::string& aBody, const ExpectedAnswer& aExpected);

// Returns the error type and the run state in an error body. The type is
// "unreadable" when the body has none.
CheckResult
ParseErrorBody(const std::string& aBody);

// Checks a service's answer: the call was executed once, and for aTarget.
CheckResult
CheckServiceAnswer(const std::string& aBody, const std::string& aTarget);

} // namespace chivefront::load
