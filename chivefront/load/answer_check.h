// Checks that an answer is whole and belongs to its request. Pure.
//
//   StreamCheck check(expected);
//   for each piece: check.Feed(piece);
//   CheckResult result = check.Finish(bodyEndedCleanly);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivefront::load {

// What is known of the right answer.
struct ExpectedAnswer
{
  // The prompt as the fake engine sees it, and its seed; no check of the words
  // without a seed.
  std::string m_prompt;
  std::optional<uint64_t> m_engineSeed;
};

struct CheckResult
{
  bool m_complete = false; // the end marker came
  std::string m_error;     // type of the error that the caller was told
  std::string m_run;       // with m_error: not_run, done or unknown
  std::string m_violation; // a broken promise, empty when there is none
  std::string m_text;      // the words of the answer
  uint64_t m_costMicros = 0;
  std::string m_version;
};

// The words that the fake engine answers to aPrompt, up to aCount.
std::string
EngineWords(std::string_view aPrompt, uint64_t aSeed, size_t aCount);

// Empty when aText is a whole answer of aTokens words to aExpected.
std::string
CheckAnswerWords(const std::string& aText,
                 size_t aTokens,
                 const ExpectedAnswer& aExpected);

class StreamCheck
{
public:
  explicit StreamCheck(ExpectedAnswer aExpected)
    : m_expected(std::move(aExpected))
  {
  }

  // Returns the number of tokens in aPiece.
  size_t Feed(std::string_view aPiece);
  // aEndedCleanly: the response's end came, and not the end of the connection.
  CheckResult Finish(bool aEndedCleanly);
  // From the last event before the end marker; empty when direct.
  const std::string& RequestId() const { return m_requestId; }

private:
  size_t OnEvent(std::string_view aData);

  const ExpectedAnswer m_expected;
  std::string m_partialEvent;            // an event that is not whole yet
  std::optional<uint64_t> m_usageTokens; // from the usage event
  std::string m_requestId;
  CheckResult m_result;
};

// A whole JSON answer of status 200.
CheckResult
CheckBufferedAnswer(const std::string& aBody, const ExpectedAnswer& aExpected);

// Type and run of an error body; "unreadable" when it has none.
CheckResult
ParseErrorBody(const std::string& aBody);

// A service's answer: executed once, for this target.
CheckResult
CheckServiceAnswer(const std::string& aBody, const std::string& aTarget);

} // namespace chivefront::load
