// Interface to the request and response headers of a deployment. The proxy
// itself uses standard HTTP headers only; an implementation maps the
// deployment's own headers to these structures.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "chivefront/base/clock.h"

namespace chivefront::proxy {

using Fields = boost::beast::http::fields;

// A part of a prompt that several requests may share.
struct PromptPart
{
  std::string m_id;
  uint32_t m_tokens = 0;
};

// Headers of a caller's request.
struct RequestMetadata
{
  std::string m_attemptId; // identifies this attempt of the caller
  // How long the caller waits for a response.
  std::optional<base::Millis> m_timeout;
  std::string m_teamKey;   // empty: the request has no key
  std::string m_model;     // empty: the request names no model
  bool m_anyModel = false; // the proxy chooses among the route's models
  uint32_t m_promptTokens = 0;
  uint32_t m_maxAnswerTokens = 0;
  std::vector<PromptPart> m_promptParts;
  std::string m_sessionId;
  std::optional<uint64_t> m_lastEventId; // resume the stream after this event
};

// Headers that the proxy sets on a forwarded request.
struct ForwardMetadata
{
  base::Millis m_timeLeft{ 0 }; // until the caller gives up
  std::string m_upstreamId;     // any other upstream must refuse the request
  std::string m_team;           // empty: the request has no key
  std::string m_model;          // empty: no model is set
  std::optional<uint64_t> m_lastEventId;
  std::optional<int> m_priority;
};

struct UpstreamLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
  // How many times as long as usual work takes on the upstream's host now.
  std::optional<double> m_slowdown;
};

// Headers of an upstream's response.
struct ResponseMetadata
{
  std::string m_attemptId; // of the request it belongs to; empty: unknown
  bool m_sealed = false;   // has the response seal, a checksum of the upstream
  bool m_notRun = false;   // the request did not run and never will
  bool m_wrongUpstream = false;    // another upstream uses this address now
  std::optional<int> m_confidence; // 0 to 100, reported by the model
  std::optional<UpstreamLoad> m_load;
  // Requests per second that the upstream accepts from all entries together.
  std::optional<double> m_requestLimit;
  bool m_leaving = false; // the upstream shuts down and wants no more requests
  // An upstream that rejects a request, or is unavailable, wants none from this
  // entry for so long.
  std::optional<base::Millis> m_retryAfter;
};

class HeaderCodec
{
public:
  virtual ~HeaderCodec() = default;

  virtual RequestMetadata ParseRequestHeaders(const Fields& aFields) const = 0;
  // Whether a header of a caller is removed because only the proxy may set it.
  virtual bool IsReserved(std::string_view aName) const = 0;
  // Appends header lines ("Name: value\r\n").
  virtual void AppendForwardHeaders(const ForwardMetadata& aMetadata,
                                    std::string& aHead) const = 0;
  virtual ResponseMetadata ParseResponseHeaders(
    int aStatus,
    const Fields& aFields) const = 0;
};

} // namespace chivefront::proxy
