// Keeps the registered upstreams over a restart of a control process. The file
// is a hint: it is not synced, may be a second old or missing, and what it says
// is forgotten soon unless the upstreams register again.
#pragma once

#include <string>

#include <absl/status/status.h>

#include "chivefront/routing/registry.h"

namespace chivefront::site {

class RegistryFile
{
public:
  explicit RegistryFile(std::string aPath)
    : m_path(std::move(aPath))
  {
  }

  // StorageFailed when it can't be written.
  absl::Status Save(const routing::Registry& aRegistry, base::TimePoint aNow);
  // Merges what was saved into aRegistry. StorageFailed when there is no file,
  // BadFrame when it is damaged.
  absl::Status Load(routing::Registry& aRegistry, base::TimePoint aNow) const;

private:
  const std::string m_path;
};

} // namespace chivefront::site
