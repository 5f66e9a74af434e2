// Prints the slopes as a table, or as JSON lines with --json.
#include <filesystem>

#include <CLI/CLI.hpp>

#include "bench/slopes/cases.h"
#include "chivefront/base/log.h"

int
main(int argc, char** argv)
{
  using namespace chivefront;
  CLI::App app("Measures how cost grows with size, for docs/CAPACITY.md.");
  bool json = false;
  double scale = 1;
  app.add_flag("--json", json, "JSON lines instead of a table.");
  app.add_option("--scale", scale, "Below 1 for a shorter run.")
    ->check(CLI::Range(0.01, 10.0));
  CLI11_PARSE(app, argc, argv);
  base::InitLogging(base::Severity::Error);

  const std::filesystem::path folder =
    std::filesystem::temp_directory_path() /
    ("chivefront-slopes-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  std::vector<bench::Slope> all;
  const auto add = [&all](std::vector<bench::Slope> aMore) {
    std::move(aMore.begin(), aMore.end(), std::back_inserter(all));
  };
  add(bench::MeasureLinks(scale));
  add(bench::MeasureWatch(scale));
  add(bench::MeasureState(scale));
  add(bench::MeasureCommits(scale, folder.string()));
  std::filesystem::remove_all(folder);
  bench::PrintSlopes(all, json);
  return 0;
}
