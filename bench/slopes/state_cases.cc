// Slopes of the catalogue, the upstream registry and the ledger, and of the
// messages that carry them.
#include "bench/slopes/cases.h"

#include "chivefront/base/ids.h"
#include "chivefront/catalog/catalog.h"
#include "chivefront/control/config_store.h"
#include "chivefront/control/registry.h"
#include "chivefront/ledger/ledger.h"
#include "chivefront/wire/codec.h"

namespace chivefront::bench {
namespace {

const std::vector<size_t> kSizes = { 100, 1000, 10000 };

std::string
TeamEntry(size_t aNumber)
{
  return R"({"owner":"platform","class":"paying","key_hashes":[")" +
         base::Sha256Hex(std::to_string(aNumber)) +
         R"("],"models":["small"],"quality_target":0.85,"limits":{)"
         R"("requests_per_second":60,"concurrency":64,)"
         R"("tokens_per_minute":2000000}})";
}

catalog::Entries
Teams(size_t aCount)
{
  catalog::Entries entries;
  const std::string head = R"({"owner":"ml","class":"free",)";
  entries["model/small"] =
    head + R"("version":"small-1","limits":{"concurrency":200}})";
  entries["version/small-1"] =
    head + R"("model":"small","prompt_cost":50,"answer_cost":150,)"
           R"("limits":{"answer_tokens":2000}})";
  for (size_t i = 0; i < aCount; ++i) {
    entries["team/t" + std::to_string(i)] = TeamEntry(i);
  }
  return entries;
}

wire::UpstreamInfoT
UpstreamRow(size_t aNumber)
{
  wire::UpstreamInfoT info;
  info.name = "engine-" + std::to_string(aNumber);
  info.agent = "agent-" + std::to_string(aNumber);
  info.agent_address = "10.20.30.40:5060";
  info.failure_domain = "region-07-domain-3";
  info.model = "small";
  info.version = "small-1";
  info.limit = 16;
  return info;
}

void
MeasureCatalogue(std::vector<Slope>& aSlopes)
{
  Slope cpu{ "catalogue.build.cpu", "us per entry and change", {}, {} };
  Slope memory{ "catalogue.memory", "bytes per entry", {}, {} };
  Slope bytes{ "catalogue.snapshot.bytes", "bytes per entry", {}, {} };
  for (const size_t count : kSizes) {
    const double size = static_cast<double>(count);
    const double before = AllocatedBytes();
    const catalog::Entries entries = Teams(count);
    const double start = ProcessCpuMicros();
    std::vector<catalog::EntryError> errors;
    const catalog::Pointer built = catalog::Build(entries, 1, errors);
    cpu.m_points.push_back({ size, ProcessCpuMicros() - start });
    memory.m_points.push_back({ size, AllocatedBytes() - before });
    wire::WatchReplyT reply;
    for (const auto& [key, value] : entries) {
      auto entry = std::make_unique<wire::ConfigEntryT>();
      entry->key = key;
      entry->value = value;
      reply.entries.push_back(std::move(entry));
    }
    bytes.m_points.push_back(
      { size,
        static_cast<double>(
          wire::EncodeFrame(wire::MakeMessage(std::move(reply))).size()) });
  }
  for (Slope* slope : { &cpu, &memory, &bytes }) {
    slope->m_line = Fit(slope->m_points);
    aSlopes.push_back(*slope);
  }
}

void
MeasureRegistry(std::vector<Slope>& aSlopes)
{
  Slope memory{ "registry.memory", "bytes per upstream", {}, {} };
  Slope announce{
    "registry.announce.cpu", "us per upstream announced", {}, {}
  };
  Slope bytes{ "registry.snapshot.bytes", "bytes per upstream", {}, {} };
  for (const size_t count : kSizes) {
    const double size = static_cast<double>(count);
    const double before = AllocatedBytes();
    control::UpstreamRegistry registry(1);
    constexpr int kRounds = 5;
    double start = 0;
    for (int round = 0; round <= kRounds; ++round) {
      if (round == 1) {
        memory.m_points.push_back({ size, AllocatedBytes() - before });
        start = ProcessCpuMicros();
      }
      for (size_t i = 0; i < count; ++i) {
        wire::AnnounceRequestT announcement;
        announcement.agent = "agent-" + std::to_string(i);
        announcement.incarnation = 1;
        announcement.agent_address = "10.20.30.40:5060";
        announcement.failure_domain = "region-07-domain-3";
        announcement.upstreams.push_back(
          std::make_unique<wire::UpstreamInfoT>(UpstreamRow(i)));
        registry.Announce(announcement, base::TimePoint());
      }
    }
    announce.m_points.push_back(
      { size, (ProcessCpuMicros() - start) / kRounds });
    wire::WatchReplyT reply;
    for (wire::UpstreamInfoT& info : registry.Since(0, 0).m_upstreams) {
      reply.upstreams.push_back(
        std::make_unique<wire::UpstreamInfoT>(std::move(info)));
    }
    bytes.m_points.push_back(
      { size,
        static_cast<double>(
          wire::EncodeFrame(wire::MakeMessage(std::move(reply))).size()) });
  }
  for (Slope* slope : { &memory, &announce, &bytes }) {
    slope->m_line = Fit(slope->m_points);
    aSlopes.push_back(*slope);
  }
}

wire::LedgerRequestT
Command(const std::string& aKind, size_t aNumber)
{
  wire::LedgerRequestT request;
  const std::string number = std::to_string(aNumber);
  const std::string id = base::RequestId::FromKey("team", number).ToString();
  if (aKind == "pin") {
    wire::PinSessionT pin;
    pin.team = "team-01";
    pin.session = id;
    pin.version = "small-1";
    request.command.Set(std::move(pin));
  } else if (aKind == "claim") {
    wire::ClaimRequestT claim;
    claim.team = "team-01";
    claim.key = id;
    claim.body_hash = aNumber;
    claim.owner = "entry-1#1";
    claim.request_id = id;
    claim.retention_ms = 86400000;
    request.command.Set(std::move(claim));
  } else {
    auto line = std::make_unique<wire::BillLineT>();
    line->request_id = id;
    line->run = 0;
    line->team = "team-01";
    line->version = "small-1";
    line->prompt_tokens = 800;
    line->answer_tokens = 350;
    line->cost_micros = 95;
    wire::PostBillT bill;
    bill.lines.push_back(std::move(line));
    request.command.Set(std::move(bill));
  }
  request.shard_key = id;
  return request;
}

void
MeasureLedger(const std::string& aKind,
              double aScale,
              std::vector<Slope>& aSlopes)
{
  Slope cpu{ "ledger." + aKind + ".cpu", "us per command applied", {}, {} };
  Slope memory{ "ledger." + aKind + ".memory", "bytes per record", {}, {} };
  Slope bytes{ "ledger." + aKind + ".bytes", "log bytes per command", {}, {} };
  for (const double wanted : { 5000.0, 20000.0, 60000.0 }) {
    const auto count = static_cast<size_t>(wanted * aScale);
    const double size = static_cast<double>(count);
    const double before = AllocatedBytes();
    ledger::Ledger ledger;
    double logBytes = 0;
    double applied = 0;
    for (size_t i = 0; i < count; ++i) {
      const std::string command =
        ledger::EncodeCommand(Command(aKind, i), 1000 + i);
      logBytes += static_cast<double>(command.size());
      const double start = ProcessCpuMicros();
      ledger.Apply(i + 1, command);
      applied += ProcessCpuMicros() - start;
    }
    cpu.m_points.push_back({ size, applied });
    memory.m_points.push_back({ size, AllocatedBytes() - before });
    bytes.m_points.push_back({ size, logBytes });
  }
  for (Slope* slope : { &cpu, &memory, &bytes }) {
    slope->m_line = Fit(slope->m_points);
    aSlopes.push_back(*slope);
  }
}

} // namespace

std::vector<Slope>
MeasureState(double aScale)
{
  std::vector<Slope> slopes;
  MeasureCatalogue(slopes);
  MeasureRegistry(slopes);
  for (const char* kind : { "pin", "claim", "bill" }) {
    MeasureLedger(kind, aScale, slopes);
  }
  return slopes;
}

} // namespace chivefront::bench
