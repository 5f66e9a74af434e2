// The agent's check of a dispatch. The entry made the same check before, but
// possibly with an older view of the catalogue, so the agent checks again with
// its own fresh view. Pure.
#pragma once

#include <string>

#include <absl/status/status.h>

#include "chivefront/catalog/catalog.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::agent {

// The properties that an upstream announced, and whether it is leaving.
struct UpstreamDescription
{
  std::string m_name;
  wire::UpstreamKind m_kind = wire::UpstreamKind::Model;
  std::string m_model;
  std::string m_version;
  std::string m_service;
  std::string m_address; // IP:PORT
  std::string m_incarnation;
  bool m_leaving = false;
};

// OK when aDispatch may start now. Otherwise ShuttingDown for an upstream that
// is leaving, NoUpstream when the upstream or its domain is out of service or
// the upstream serves something else, Quarantined, or the error of the
// catalogue's check. Every error means that the request did not run.
absl::Status
CheckDispatch(const catalog::Catalog& aCatalog,
              const wire::DispatchT& aDispatch,
              const UpstreamDescription& aUpstream,
              std::string_view aFailureDomain);

// The caller class in which aDispatch is queued: the class of its team in the
// catalogue. The class in the dispatch can only lower it.
catalog::CallerClass
QueueClass(const catalog::Catalog& aCatalog, const wire::DispatchT& aDispatch);

} // namespace chivefront::agent
