// Storage of the registry as one wire frame that announces all upstreams.
#include "chivefront/site/registry_file.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include "chivefront/base/errors.h"
#include "chivefront/site/messages.h"
#include "chivefront/wire/codec.h"

namespace chivefront::site {

absl::Status
RegistryFile::Save(const routing::Registry& aRegistry, base::TimePoint aNow)
{
  wire::AnnounceRequestT all;
  aRegistry.ForEach([&](const routing::Instance& aInstance) {
    all.upstreams.push_back(
      std::make_unique<wire::UpstreamInfoT>(ToWire(aInstance, aNow)));
  });
  const std::string next = m_path + ".next";
  std::ofstream file(next, std::ios::binary | std::ios::trunc);
  file << wire::EncodeFrame(wire::MakeMessage(std::move(all)));
  file.close();
  if (!file || std::rename(next.c_str(), m_path.c_str()) != 0) {
    return base::MakeError(base::ErrorKind::StorageFailed,
                           "cannot write " + m_path);
  }
  return absl::OkStatus();
}

absl::Status
RegistryFile::Load(routing::Registry& aRegistry, base::TimePoint aNow) const
{
  std::ifstream file(m_path, std::ios::binary);
  std::stringstream content;
  content << file.rdbuf();
  const std::string bytes = content.str();
  if (!file || bytes.size() < wire::kFrameHeaderBytes) {
    return base::MakeError(base::ErrorKind::StorageFailed,
                           "cannot read " + m_path);
  }
  const std::string_view head =
    std::string_view(bytes).substr(0, wire::kFrameHeaderBytes);
  const auto message = wire::DecodePayload(
    head, std::string_view(bytes).substr(wire::kFrameHeaderBytes));
  const wire::AnnounceRequestT* all =
    message.ok() ? message->body.AsAnnounceRequest() : nullptr;
  if (all == nullptr) {
    return base::MakeError(base::ErrorKind::BadFrame, m_path + " is damaged");
  }
  for (const auto& info : all->upstreams) {
    routing::Instance record;
    if (FromWire(*info, aNow, record)) {
      // It is unknown how long the process was down, so the record gets half of
      // the instance timeout.
      record.m_reportedAt = aNow - routing::kInstanceTimeout / 2;
      (void)aRegistry.Merge(record);
    }
  }
  return absl::OkStatus();
}

} // namespace chivefront::site
