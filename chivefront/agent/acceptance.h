// The agent's own check of a dispatch. The entry checked the same before, but
// its view may have been older, so the agent decides again by its fresh view.
// Pure.
#pragma once

#include <string>

#include <absl/status/status.h>

#include "chivefront/catalog/catalog.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::agent {

// What an upstream said of itself in its announcement.
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

// OK when aDispatch may start now. ShuttingDown for a leaving upstream,
// NoUpstream when something on the way is out of service or the upstream
// serves something else, Quarantined, or the catalogue's refusals. Every
// error means "not run".
absl::Status
CheckDispatch(const catalog::Catalog& aCatalog,
              const wire::DispatchT& aDispatch,
              const UpstreamDescription& aUpstream,
              std::string_view aFailureDomain);

// The class by which aDispatch is queued: the team's class in the catalogue.
// What the dispatch itself says can only lower it.
catalog::CallerClass
QueueClass(const catalog::Catalog& aCatalog, const wire::DispatchT& aDispatch);

} // namespace chivefront::agent
