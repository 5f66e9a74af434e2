// A fake of the answer rating service, over HTTP:
//   POST /v1/rate       {"request_id","task","version","prompt","answer"}
//   POST /fake/behave   {"slow_ms","wrong_rate","down","quality":{version: q}}
//   GET  /fake/history  ratings by version
// The verdict on a request, version and answer depends on the seed only.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "chivefront/net/http_server.h"

namespace fakes {

using namespace chivefront;

struct RatingOptions
{
  base::Endpoint m_listen{ "127.0.0.1", 0 };
  uint64_t m_seed = 1;
  base::Millis m_slow;
  double m_wrongRate = 0; // share of verdicts that are inverted
  // Share of acceptable answers by version, and for all other versions.
  std::map<std::string, double> m_quality;
  double m_defaultQuality = 0.9;
};

struct Verdict
{
  bool m_acceptable = false;
  double m_score = 0; // 0 to 1
};
Verdict
RateAnswer(const RatingOptions& aOptions,
           const std::string& aRequestId,
           const std::string& aVersion,
           const std::string& aAnswer);

class FakeRating
{
public:
  FakeRating(net::asio::io_context& aContext, RatingOptions aOptions);

  absl::Status Start() { return m_server.Listen(m_listen); }
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }
  std::string History() const;

private:
  struct Count
  {
    uint64_t m_acceptable = 0;
    uint64_t m_rated = 0;
  };

  net::Task<void> Handle(net::HttpExchange& aExchange);
  net::Task<void> Rate(net::HttpExchange& aExchange);
  void ApplyBehavior(const std::string& aBody);

  const base::Endpoint m_listen;
  mutable std::mutex m_lock; // guards the next three
  RatingOptions m_options;
  bool m_down = false;
  std::map<std::string, Count> m_counts; // by version
  net::HttpServer m_server;
};

} // namespace fakes
