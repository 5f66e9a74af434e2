// fake-rating: a fake of the answer rating service.
#include <iostream>

#include "fakes/program.h"
#include "fakes/rating.h"

using namespace chivefront;

int
main(int argc, char** argv)
{
  fakes::RatingOptions options;
  CLI::App app("Stand-in for the answer rating service.");
  fakes::AddEndpoint(app, "--listen", options.m_listen, "Address to serve.");
  app.add_option("--seed", options.m_seed, "Seed of its verdicts.");
  fakes::AddMillis(app, "--slow-ms", options.m_slow, "Time per rating.");
  app.add_option(
    "--wrong-rate", options.m_wrongRate, "Share of wrong verdicts.");
  app.add_option_function<std::vector<std::string>>(
    "--quality",
    [&options](const std::vector<std::string>& aTexts) {
      for (const std::string& text : aTexts) {
        const size_t sign = text.find('=');
        double share = 0;
        if (sign == text.npos ||
            !CLI::detail::lexical_cast(text.substr(sign + 1), share)) {
          throw CLI::ValidationError("--quality", "expected VERSION=SHARE");
        }
        options.m_quality[text.substr(0, sign)] = share;
      }
    },
    "Share of acceptable answers, VERSION=SHARE, repeatable.");
  app.add_option("--default-quality",
                 options.m_defaultQuality,
                 "The same for all other versions.");
  CLI11_PARSE(app, argc, argv);
  net::Runtime runtime(2);
  fakes::FakeRating rating(runtime.Context(), options);
  if (const absl::Status status = rating.Start(); !status.ok()) {
    std::cerr << status << "\n";
    return 1;
  }
  return fakes::RunProgram(runtime, "fake-rating", rating.BoundEndpoint());
}
