// Slopes of configuration watches: the cost of a poll and of a change at a
// control process.
#include "bench/slopes/cases.h"

#include "chivefront/control/config_store.h"
#include "chivefront/control/registry.h"
#include "chivefront/wire/codec.h"

namespace chivefront::bench {
namespace {

double
FrameBytes(wire::MessageT aMessage)
{
  return static_cast<double>(wire::EncodeFrame(aMessage).size());
}

wire::WatchRequestT
PollRequest()
{
  wire::WatchRequestT request;
  request.holder = "region-07-entry-12#1234567890123456789";
  request.have_revision = 123456;
  request.registry_epoch = 77;
  request.registry_sequence = 88;
  return request;
}

wire::MessageT
DecodeFrame(const std::string& aFrame)
{
  const std::string_view frame = aFrame;
  return *wire::DecodePayload(frame.substr(0, wire::kFrameHeaderBytes),
                              frame.substr(wire::kFrameHeaderBytes));
}

// CPU of a poll that finds no change: decoding the request, looking for
// changes and encoding the reply. The system calls are in link.chunk.cpu.
Slope
MeasureIdlePolls(double aScale)
{
  Slope cpu{ "watch.poll.cpu", "us per idle poll", {}, {} };
  control::ConfigStore store;
  control::UpstreamRegistry registry(77);
  const std::string encodedRequest =
    wire::EncodeFrame(wire::MakeMessage(PollRequest(), 1));
  for (const double wanted : { 10000.0, 30000.0, 90000.0 }) {
    const auto count = static_cast<size_t>(wanted * aScale);
    const double start = ProcessCpuMicros();
    for (size_t i = 0; i < count; ++i) {
      const wire::MessageT message = DecodeFrame(encodedRequest);
      const wire::WatchRequestT& request = *message.body.AsWatchRequest();
      const control::Delta delta = store.Since(request.have_revision);
      const control::RegistryDelta changes =
        registry.Since(request.registry_epoch, request.registry_sequence);
      wire::WatchReplyT reply;
      reply.revision = delta.m_revision;
      reply.fresh = true;
      reply.registry_epoch = changes.m_epoch;
      (void)wire::EncodeFrame(wire::MakeMessage(std::move(reply), 1));
    }
    cpu.m_points.push_back(
      { static_cast<double>(count), ProcessCpuMicros() - start });
  }
  cpu.m_line = Fit(cpu.m_points);
  return cpu;
}

Slope
IdlePollBytes()
{
  Slope bytes{ "watch.poll.bytes", "bytes per idle poll", {}, {} };
  wire::WatchReplyT reply;
  reply.revision = 123456;
  reply.fresh = true;
  reply.age_ms = 150;
  reply.registry_epoch = 77;
  reply.registry_sequence = 88;
  reply.live_entries = 330;
  const double both = FrameBytes(wire::MakeMessage(PollRequest(), 1)) +
                      FrameBytes(wire::MakeMessage(std::move(reply), 1));
  for (const double polls : { 1.0, 10.0, 100.0 }) {
    bytes.m_points.push_back({ polls, both * polls });
  }
  bytes.m_line = Fit(bytes.m_points);
  return bytes;
}

// Bytes that one changed entry of typical size adds to a reply.
Slope
ChangeBytes()
{
  Slope bytes{ "watch.change.bytes", "bytes per changed entry", {}, {} };
  for (const size_t changes : { 1, 10, 100 }) {
    wire::WatchReplyT reply;
    for (size_t i = 0; i < changes; ++i) {
      auto entry = std::make_unique<wire::ConfigEntryT>();
      entry->key = "team/region-07-customer-1234";
      entry->value = std::string(420, 'x');
      entry->revision = 1;
      reply.entries.push_back(std::move(entry));
    }
    bytes.m_points.push_back(
      { static_cast<double>(changes),
        FrameBytes(wire::MakeMessage(std::move(reply), 1)) });
  }
  bytes.m_line = Fit(bytes.m_points);
  return bytes;
}

} // namespace

std::vector<Slope>
MeasureWatch(double aScale)
{
  return { MeasureIdlePolls(aScale), IdlePollBytes(), ChangeBytes() };
}

} // namespace chivefront::bench
