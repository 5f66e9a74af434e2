// Runs one request on one version or plain service: chooses upstreams, sends
// attempts, relays the answer, resumes it over a new link and retries.
#pragma once

#include <set>
#include <string>

#include "chivefront/entry/caller_error.h"
#include "chivefront/entry/components.h"
#include "chivefront/entry/evidence.h"
#include "chivefront/entry/retry_rule.h"
#include "chivefront/entry/stream_assembler.h"
#include "chivefront/entry/suspects.h"
#include "chivefront/policy/retry_budget.h"

namespace chivefront::entry {

// One run of a request. A request of the cascade has one run for each version
// that it is sent to; a run has one or more attempts.
struct RunSpec
{
  std::string m_requestId;
  uint32_t m_run = 0; // index of the run in its request
  // Number of the first attempt. Attempt numbers are unique in a request.
  uint32_t m_firstAttempt = 1;
  std::string m_team;
  wire::CallerClass m_class = wire::CallerClass::Paying;
  std::string m_model;
  std::string m_version; // empty for a plain service
  std::string m_service; // empty for a model
  std::string m_session;
  bool m_idempotent = true;
  std::string m_claimKey; // empty when the run holds no claim
  uint64_t m_fingerprint = 0;
  base::TimePoint m_deadline; // for the first chunk of the answer
  std::string m_method;
  std::string m_target;
  std::string m_contentType;
  std::string m_body;
  bool m_stream = false;
};

// Receives the data of an answer.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;

  // Consumes the next data of the answer and returns once the reader has
  // accepted it. An error means that the reader is gone or takes no more data.
  virtual net::Task<absl::Status> OnData(std::string aData) = 0;
  // True once the caller may have received a part of the answer.
  virtual bool Begun() const = 0;
  // Discards the data received so far, for a retry. Called only while Begun()
  // is false.
  virtual void Restart() = 0;
};

struct RunResult
{
  bool m_done = false;       // the whole answer was relayed
  bool m_readerGone = false; // the sink refused data
  bool m_dispatched = false; // at least one attempt was sent
  CallerError m_error;       // set unless m_done
  uint32_t m_nextAttempt = 1;
  std::string m_upstream; // of the last attempt
  std::string m_agentAddress;
  base::Millis m_elapsed;
  // From the agent's End message; zero or empty without one.
  uint32_t m_httpStatus = 0;
  std::string m_contentType;
  uint32_t m_promptTokens = 0;
  uint32_t m_answerTokens = 0;
};

class Runner
{
public:
  Runner(EntryComponents& aComponents, Evidence& aEvidence);

  net::Task<RunResult> Run(const RunSpec& aSpec, AnswerSink& aSink);

  // Tells the agent that the bill and the result of the claim are durable.
  void Settle(const RunSpec& aSpec, const RunResult& aResult);

private:
  struct Attempt;

  net::Task<absl::Status> AcquireUpstream(const RunSpec& aSpec,
                                          const std::set<std::string>& aTried,
                                          Attempt& aAttempt);
  absl::Status Dispatch(const RunSpec& aSpec, Attempt& aAttempt);
  absl::Status CheckAllowed(const RunSpec& aSpec,
                            const client::View& aView,
                            const Attempt& aAttempt) const;
  bool ConsumeRetryBudget(const RunSpec& aSpec, RetryContext aContext);
  void ReleaseCredit(const Attempt& aAttempt,
                     FailurePoint aPoint,
                     const RunResult& aResult);
  net::Task<FailurePoint> Relay(const RunSpec& aSpec,
                                Attempt& aAttempt,
                                AnswerSink& aSink,
                                RunResult& aResult);
  net::Task<std::optional<FailurePoint>> OnChunkBatch(const ChunkBatch& aBatch,
                                                      Attempt& aAttempt,
                                                      AnswerSink& aSink,
                                                      RunResult& aResult);
  std::optional<FailurePoint> OnEnd(const wire::EndT& aEnd,
                                    Attempt& aAttempt,
                                    RunResult& aResult);
  std::optional<FailurePoint> OnLinkUp(const net::Link::Pointer& aLink,
                                       Attempt& aAttempt);
  void OnReaderGone(Attempt& aAttempt);
  void SendResume(Attempt& aAttempt);
  void SendCancel(Attempt& aAttempt);

  EntryComponents& m_components;
  Evidence& m_evidence;
  SuspectCache m_suspects;
  std::mutex m_lock;
  policy::RetryBudget m_retryBudget; // guarded by m_lock
  base::Counter& m_attempts;
  base::Counter& m_retries;
  base::Counter& m_resumes;
  base::Counter& m_droppedChunks;
  base::Summary& m_firstChunkMs;
};

} // namespace chivefront::entry
