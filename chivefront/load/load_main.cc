// chivefront-load: sends open-loop load to an entry and checks every answer.
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "chivefront/base/log.h"
#include "chivefront/load/load_run.h"

using namespace chivefront;

namespace {

constexpr int kExitViolations = 3;
constexpr int64_t kMaxDurationMs = 24LL * 3600 * 1000;

void
AddSettings(base::Settings& aSettings)
{
  aSettings.AddEndpoint("entry", "Callers' port of an entry.").Required();
  aSettings.AddEndpoint("engine",
                        "An engine; every model mix is sent there too, "
                        "without the router, to compare latencies.");
  aSettings.AddText("scenario", "JSON file with the mixes; see scenario.h.");
  aSettings.AddText("result", "File for the result as JSON.");
  aSettings.AddInteger("threads", "Threads that send.", 2, 1, 64);
  aSettings.AddInteger(
    "seed", "Seed of arrivals and prompts.", 1, 0, INT64_MAX);
  aSettings.AddInteger(
    "duration-ms", "Time in which requests start.", 10000, 1, kMaxDurationMs);
  aSettings.AddInteger("engine-seed",
                       "Seed of the fake engines, to check words; -1 for none.",
                       -1,
                       -1,
                       INT64_MAX);
  aSettings.AddText("caller-key", "Caller key of the one mix given by flags.");
  aSettings.AddInteger(
    "rate", "Requests per second of that mix.", 10, 0, 100000);
  aSettings.AddText("model", "Model of that mix.", "auto");
  aSettings.AddInteger(
    "max-tokens", "Longest answer; 0 sends none.", 0, 0, 1000000);
  aSettings.AddInteger(
    "session-turns", "Turns of its sessions; 0 for none.", 0, 0, 1000000);
  aSettings.AddFlag("stream", "Ask for streamed answers.");
}

// Returns a scenario of one mix.
load::Scenario
ScenarioFromFlags(const base::Settings& aSettings)
{
  load::Mix mix;
  mix.m_callerKey = aSettings.Text("caller-key");
  mix.m_rate = static_cast<double>(aSettings.Integer("rate"));
  mix.m_model = aSettings.Text("model");
  mix.m_maxTokens = static_cast<uint32_t>(aSettings.Integer("max-tokens"));
  mix.m_sessionTurns =
    static_cast<uint32_t>(aSettings.Integer("session-turns"));
  mix.m_stream = aSettings.Flag("stream");
  load::Scenario scenario;
  scenario.m_seed = static_cast<uint64_t>(aSettings.Integer("seed"));
  scenario.m_duration = base::Millis(aSettings.Integer("duration-ms"));
  scenario.m_engineSeed = aSettings.Integer("engine-seed");
  scenario.m_mixes.push_back(std::move(mix));
  return scenario;
}

// Reads a scenario file. Prints every error of the file, and returns nothing
// when there are any.
std::optional<load::Scenario>
ReadScenario(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  std::vector<catalog::EntryError> errors;
  load::Scenario scenario;
  if (file) {
    scenario = load::ParseScenario(text.str(), errors);
  } else {
    errors.push_back({ aPath, "can't be read" });
  }
  for (const catalog::EntryError& error : errors) {
    std::cerr << error.m_path << " " << error.m_problem << "\n";
  }
  if (!errors.empty()) {
    return std::nullopt;
  }
  return scenario;
}

// Runs aContext on aThreads threads, including this one, until it is stopped.
void
RunEventLoop(net::asio::io_context& aContext, int64_t aThreads)
{
  std::vector<std::thread> threads;
  for (int64_t i = 1; i < aThreads; ++i) {
    threads.emplace_back([&] { aContext.run(); });
  }
  aContext.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

} // namespace

int
main(int argc, char** argv)
{
  base::Settings settings("chivefront-load",
                          "Sends load to an entry and checks the answers. "
                          "Exit code 3 after a broken promise.");
  AddSettings(settings);
  if (const auto code = settings.Parse(argc, argv)) {
    return *code;
  }
  base::InitLogging(base::Severity::Warning);
  auto scenario = settings.Text("scenario").empty()
                    ? std::optional(ScenarioFromFlags(settings))
                    : ReadScenario(settings.Text("scenario"));
  if (!scenario) {
    return base::kExitBadSettings;
  }
  std::optional<base::Endpoint> engine;
  if (!settings.Text("engine").empty()) {
    engine = settings.EndpointOf("engine");
    load::AddDirectMixes(*scenario);
  }
  net::asio::io_context context;
  load::Stats stats(*scenario);
  load::LoadRun run(
    context, *scenario, settings.EndpointOf("entry"), engine, stats);
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint began = clock.Now();
  run.Start([&] { context.stop(); });
  RunEventLoop(context, settings.Integer("threads"));
  const base::Millis elapsed = clock.Now() - began;
  std::cout << stats.ToTable(elapsed);
  if (!settings.Text("result").empty()) {
    std::ofstream file(settings.Text("result"));
    file << stats.ToJson(elapsed) << "\n";
    if (!file.flush()) {
      std::cerr << settings.Text("result") << " can't be written\n";
      return 1;
    }
  }
  return stats.Violations() == 0 ? 0 : kExitViolations;
}
