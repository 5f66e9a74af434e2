// policy-bench: measures the decision classes of chivefront/policy over many
// seeds, with small models of engines, ratings and arrivals.
//
//   policy-bench --seeds 20 --case cascade --json cascade.json
//
// The models call the interfaces of the decision classes directly; they don't
// simulate a whole cluster.
#include <fstream>
#include <iostream>
#include <map>

#include <CLI/CLI.hpp>

#include "bench/cases.h"

using namespace chivefront;

int
main(int argc, char** argv)
{
  using Run = void (*)(const bench::Seeds&, bench::Report&);
  const std::map<std::string, Run> cases{
    { "cascade", bench::RunCascade }, { "classes", bench::RunClasses },
    { "rollout", bench::RunRollout }, { "placement", bench::RunPlacement },
    { "retries", bench::RunRetries }, { "suspects", bench::RunSuspects },
    { "domain", bench::RunDomain },   { "limiter", bench::RunLimiterCase },
  };
  bench::Seeds seeds;
  std::vector<std::string> wanted;
  std::string jsonPath;
  std::string tablePath;
  CLI::App app("Measures the decision classes over many seeds.");
  app.add_option("--seeds", seeds.m_count, "Number of seeds");
  app.add_option("--first-seed", seeds.m_first, "The first seed");
  app.add_option("--case", wanted, "Cases to run; all by default");
  app.add_option("--json", jsonPath, "File for JSON; - is standard output");
  app.add_option("--table", tablePath, "File for the table");
  CLI11_PARSE(app, argc, argv);

  bench::Report report;
  for (const auto& [name, run] : cases) {
    if (wanted.empty() ||
        std::find(wanted.begin(), wanted.end(), name) != wanted.end()) {
      run(seeds, report);
    }
  }
  if (jsonPath == "-") {
    report.PrintJson(std::cout);
  } else if (!jsonPath.empty()) {
    std::ofstream file(jsonPath);
    report.PrintJson(file);
  }
  if (!tablePath.empty()) {
    std::ofstream file(tablePath);
    report.PrintTable(file);
  } else if (jsonPath != "-") {
    report.PrintTable(std::cout);
  }
  return 0;
}
