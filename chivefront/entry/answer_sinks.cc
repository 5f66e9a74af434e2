// Relay of streamed answers, and collection of whole answers in memory.
#include "chivefront/entry/answer_sinks.h"

namespace chivefront::entry {

net::Task<absl::Status>
StreamSink::Write(std::string aData)
{
  if (!m_begun) {
    m_begun = true;
    const absl::Status begun = co_await m_exchange.BeginStream(
      200, std::string("text/event-stream"), m_headers);
    if (!begun.ok()) {
      co_return begun;
    }
  }
  co_return co_await m_exchange.Write(std::move(aData));
}

net::Task<absl::Status>
StreamSink::OnData(std::string aData)
{
  std::string ready = m_eventBuffer.Append(std::move(aData));
  if (ready.empty()) {
    co_return absl::OkStatus();
  }
  m_beginning += ready.substr(0, kMaxBeginningBytes - m_beginning.size());
  co_return co_await Write(std::move(ready));
}

net::Task<absl::Status>
StreamSink::Finish(std::string aTrailer)
{
  std::string last = m_eventBuffer.TakeIncomplete();
  if (!last.empty() || m_eventBuffer.InsideEvent()) {
    last += "\n\n";
  }
  last += aTrailer + "data: [DONE]\n\n";
  const absl::Status written = co_await Write(std::move(last));
  if (!written.ok()) {
    co_return written;
  }
  co_return co_await m_exchange.EndStream();
}

net::Task<absl::Status>
StreamSink::Fail(std::string aErrorEvent)
{
  std::string event = m_eventBuffer.InsideEvent() ? "\n\n" : "";
  event += aErrorEvent;
  return Write(std::move(event));
}

net::Task<absl::Status>
BufferSink::OnData(std::string aData)
{
  if (m_data.size() + aData.size() > m_maxBytes) {
    m_overflowed = true;
    co_return base::MakeError(base::ErrorKind::AnswerIncomplete,
                              "the answer exceeds the bound of this entry");
  }
  m_data += aData;
  co_return absl::OkStatus();
}

} // namespace chivefront::entry
