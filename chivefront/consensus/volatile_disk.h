// The disk of a replica on a host that has none.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chivefront/base/errors.h"
#include "chivefront/consensus/disk.h"

namespace chivefront::consensus {

// Accepts all writes and keeps nothing. A replica reads its files when it
// starts only, so a folder that ends with the process needs no content: each
// start finds it empty.
class VolatileDisk final : public Disk
{
public:
  absl::StatusOr<std::vector<std::string>> List() override
  {
    return std::vector<std::string>();
  }
  absl::StatusOr<std::string> Read(const std::string& aFile) override
  {
    return base::MakeError(base::ErrorKind::StorageFailed,
                           "no file is kept: " + aFile);
  }
  absl::Status Append(const std::string& /*aFile*/,
                      std::string_view /*aBytes*/) override
  {
    return absl::OkStatus();
  }
  absl::Status SyncFile(const std::string& /*aFile*/) override
  {
    return absl::OkStatus();
  }
  absl::Status SyncFolder() override { return absl::OkStatus(); }
  absl::Status Rename(const std::string& /*aFrom*/,
                      const std::string& /*aTo*/) override
  {
    return absl::OkStatus();
  }
  absl::Status Remove(const std::string& /*aFile*/) override
  {
    return absl::OkStatus();
  }
  absl::Status Truncate(const std::string& /*aFile*/, size_t /*aSize*/) override
  {
    return absl::OkStatus();
  }
};

} // namespace chivefront::consensus
