// Parses scenario files.
#include "chivefront/load/scenario.h"

#include <boost/json/parse.hpp>

#include "chivefront/catalog/reader.h"

namespace chivefront::load {
namespace detail {

using catalog::detail::Reader;
using Need = Reader::Need;

constexpr int64_t kMaxMs = 24LL * 3600 * 1000;
constexpr int64_t kMaxCount = 100000000;
constexpr double kMaxRate = 100000;
constexpr int64_t kPermille = 1000;

Mix
ReadMix(const boost::json::object& aObject,
        const std::string& aPath,
        std::vector<catalog::EntryError>& aErrors)
{
  Mix mix;
  Reader reader(aObject, aPath, aErrors);
  reader.Text("name", mix.m_name, Need::Required);
  reader.Text("caller_key", mix.m_callerKey, Need::Optional);
  reader.Number("rate", mix.m_rate, 0, kMaxRate, Need::Required);
  reader.Duration("deadline_ms", mix.m_deadline, 1, kMaxMs, Need::Optional);
  reader.Text("model", mix.m_model, Need::Optional);
  reader.Text("task", mix.m_task, Need::Optional);
  reader.Boolean("stream", mix.m_stream, Need::Optional);
  reader.Integer("max_tokens", mix.m_maxTokens, 1, kMaxCount, Need::Optional);
  reader.Integer(
    "prompt_bytes", mix.m_promptBytes, 1, kMaxCount, Need::Optional);
  reader.Integer(
    "session_turns", mix.m_sessionTurns, 1, kMaxCount, Need::Optional);
  reader.Duration("think_ms", mix.m_thinkTime, 0, kMaxMs, Need::Optional);
  std::string reading = "fast";
  reader.Text("reader", reading, Need::Optional);
  if (const auto value = kReaderSpeedNames.Find(reading)) {
    mix.m_readerSpeed = *value;
  } else {
    reader.Error("reader", "must be fast, slow or stalled");
  }
  reader.Integer("read_bytes_per_second",
                 mix.m_readBytesPerSecond,
                 1,
                 kMaxCount,
                 Need::Optional);
  reader.Duration("stall_ms", mix.m_stall, 1, kMaxMs, Need::Optional);
  reader.Text("service", mix.m_service, Need::Optional);
  reader.Text("path", mix.m_path, Need::Optional);
  reader.Text("method", mix.m_method, Need::Optional);
  reader.Boolean("with_key", mix.m_withKey, Need::Optional);
  reader.Integer(
    "repeat_permille", mix.m_repeatPermille, 0, kPermille, Need::Optional);
  reader.RejectUnreadMembers();
  return mix;
}

} // namespace detail

Scenario
ParseScenario(std::string_view aText, std::vector<catalog::EntryError>& aErrors)
{
  Scenario scenario;
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), error);
  if (error || !value.is_object()) {
    aErrors.push_back({ "scenario", "must be a JSON object" });
    return scenario;
  }
  detail::Reader reader(value.get_object(), "scenario", aErrors);
  reader.Integer("seed", scenario.m_seed, 0, INT64_MAX, detail::Need::Optional);
  reader.Duration("duration_ms",
                  scenario.m_duration,
                  1,
                  detail::kMaxMs,
                  detail::Need::Optional);
  reader.Integer("engine_seed",
                 scenario.m_engineSeed,
                 -1,
                 INT64_MAX,
                 detail::Need::Optional);
  const boost::json::value* mixes = value.get_object().if_contains("mixes");
  if (mixes == nullptr || !mixes->is_array() || mixes->get_array().empty()) {
    aErrors.push_back({ "scenario: mixes", "must be a non-empty list" });
    return scenario;
  }
  for (size_t i = 0; i < mixes->get_array().size(); ++i) {
    const std::string path = "scenario: mixes[" + std::to_string(i) + "]";
    const boost::json::object* mix = mixes->get_array()[i].if_object();
    if (mix == nullptr) {
      aErrors.push_back({ path, "must be an object" });
      continue;
    }
    scenario.m_mixes.push_back(detail::ReadMix(*mix, path, aErrors));
  }
  for (const auto& member : value.get_object()) {
    const std::string name(member.key().data(), member.key().size());
    if (name != "seed" && name != "duration_ms" && name != "engine_seed" &&
        name != "mixes") {
      aErrors.push_back({ "scenario: " + name, "is not known" });
    }
  }
  return scenario;
}

void
AddDirectMixes(Scenario& aScenario)
{
  std::vector<Mix> direct;
  for (const Mix& mix : aScenario.m_mixes) {
    if (mix.m_service.empty() && mix.m_sessionTurns == 0) {
      direct.push_back(mix);
      direct.back().m_name += "/direct";
      direct.back().m_direct = true;
    }
  }
  aScenario.m_mixes.insert(
    aScenario.m_mixes.end(), direct.begin(), direct.end());
}

} // namespace chivefront::load
