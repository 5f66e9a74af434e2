// What the proxy needs to know of the headers that callers and upstreams use.
// The proxy itself knows HTTP only; an adapter implements this interface.
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

// A part of a prompt that several requests share.
struct PromptPart
{
  std::string m_id;
  uint32_t m_tokens = 0;
};

// What a caller says of its request.
struct RequestMetadata
{
  std::string m_attemptId;               // id of this attempt of the caller
  std::optional<base::Millis> m_timeout; // how long the caller waits
  std::string m_teamKey;                 // empty: none
  std::string m_model;                   // empty: none named
  bool m_anyModel = false;               // the proxy chooses among a route's
  uint32_t m_promptTokens = 0;
  uint32_t m_maxAnswerTokens = 0; // at most
  std::vector<PromptPart> m_promptParts;
  std::string m_sessionId;
  std::optional<uint64_t> m_lastEventId; // go on after it
};

// What the proxy sets on a request that it passes on.
struct ForwardMetadata
{
  base::Millis m_timeLeft{ 0 }; // time until the caller gives up
  std::string m_upstreamId;     // only this upstream may run it
  std::string m_team;           // empty: the request has no key
  std::string m_model;          // empty: as the caller named it
  std::optional<uint64_t> m_lastEventId;
  std::optional<int> m_priority;
};

struct UpstreamLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  uint32_t m_slots = 0;
};

// What an upstream says in the head of an answer.
struct ResponseMetadata
{
  std::string m_attemptId;         // whose answer it is; empty: not said
  bool m_sealed = false;           // the upstream vouches for it
  bool m_notRun = false;           // the request did not run and never will
  bool m_wrongUpstream = false;    // another upstream has this address now
  std::optional<int> m_confidence; // 0 to 100, of the model in its answer
  std::optional<UpstreamLoad> m_load;
};

class HeaderCodec
{
public:
  virtual ~HeaderCodec() = default;

  virtual RequestMetadata ParseRequestHeaders(const Fields& aFields) const = 0;
  // Whether a caller's header of this name must not reach an upstream, because
  // only the proxy may set it.
  virtual bool IsReserved(std::string_view aName) const = 0;
  // Appends header lines ("Name: value\r\n").
  virtual void AppendForwardHeaders(const ForwardMetadata& aMetadata,
                                    std::string& aHead) const = 0;
  virtual ResponseMetadata ParseResponseHeaders(
    int aStatus,
    const Fields& aFields) const = 0;
};

} // namespace chivefront::proxy
