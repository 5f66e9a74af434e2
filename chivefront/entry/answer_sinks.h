// Sinks for answers: StreamSink sends to the caller, BufferSink keeps in
// memory.
#pragma once

#include <string>

#include "chivefront/entry/runner.h"
#include "chivefront/net/http_server.h"

namespace chivefront::entry {

// Relays server-sent events to the caller. The response begins with the first
// complete event, so that an earlier failure is sent as an ordinary JSON error.
// Holds at most one incomplete event, and the beginning of the answer for
// rating.
class StreamSink final : public AnswerSink
{
public:
  static constexpr size_t kMaxPartialEventBytes = 8 * 1024;
  static constexpr size_t kMaxBeginningBytes = 8 * 1024;

  StreamSink(net::HttpExchange& aExchange, net::HttpHeaders aHeaders)
    : m_exchange(aExchange)
    , m_headers(std::move(aHeaders))
    , m_eventBuffer(kMaxPartialEventBytes)
  {
  }

  net::Task<absl::Status> OnData(std::string aData) override;
  bool Begun() const override { return m_begun; }
  void Restart() override
  {
    m_eventBuffer = SseEventBuffer(kMaxPartialEventBytes);
  }

  // The first kMaxBeginningBytes of the answer.
  const std::string& Beginning() const { return m_beginning; }

  // Sends the buffered data, aTrailer and the end marker, and completes the
  // response.
  net::Task<absl::Status> Finish(std::string aTrailer);
  // Sends aErrorEvent as the last event and leaves the response incomplete, so
  // that the caller can't take it for a whole answer.
  net::Task<absl::Status> Fail(std::string aErrorEvent);

private:
  net::Task<absl::Status> Write(std::string aData);

  net::HttpExchange& m_exchange;
  const net::HttpHeaders m_headers;
  SseEventBuffer m_eventBuffer;
  std::string m_beginning; // at most kMaxBeginningBytes
  bool m_begun = false;
};

// Collects an answer that is not streamed, up to aMaxBytes. More data is an
// AnswerIncomplete error.
class BufferSink final : public AnswerSink
{
public:
  explicit BufferSink(size_t aMaxBytes)
    : m_maxBytes(aMaxBytes)
  {
  }

  net::Task<absl::Status> OnData(std::string aData) override;
  bool Begun() const override { return false; }
  void Restart() override { m_data.clear(); }

  const std::string& Data() const { return m_data; }
  std::string Take() { return std::move(m_data); }
  bool Overflowed() const { return m_overflowed; }

private:
  const size_t m_maxBytes;
  std::string m_data; // at most m_maxBytes
  bool m_overflowed = false;
};

} // namespace chivefront::entry
