// Preserves the registered upstreams across a restart of a control process. The
// file is a hint: it is not synced, may be missing or a second old, and its
// records expire soon unless the upstreams register again.
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

  // Returns StorageFailed when the file can't be written.
  absl::Status Save(const routing::Registry& aRegistry, base::TimePoint aNow);
  // Merges the saved records into aRegistry. Returns StorageFailed when there
  // is no file, BadFrame when the file is damaged.
  absl::Status Load(routing::Registry& aRegistry, base::TimePoint aNow) const;

private:
  const std::string m_path;
};

} // namespace chivefront::site
