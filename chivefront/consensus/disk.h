// The file operations that the durable log needs, behind an interface so that
// tests can inject failures and crashes.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace chivefront::consensus {

// The files of one folder without subfolders. Errors are of kind StorageFull
// when a write found no space, StorageReadOnly when the process may not write
// there and StorageFailed otherwise; a failed sync is always StorageFailed.
// Written bytes are durable only after SyncFile. Created, renamed and removed
// files are durable only after SyncFolder.
class Disk
{
public:
  virtual ~Disk() = default;

  // Names of all files in the folder, sorted. Creates a missing folder.
  virtual absl::StatusOr<std::vector<std::string>> List() = 0;
  virtual absl::StatusOr<std::string> Read(const std::string& aFile) = 0;
  // Appends to a file, which is created when it is missing.
  virtual absl::Status Append(const std::string& aFile,
                              std::string_view aBytes) = 0;
  virtual absl::Status SyncFile(const std::string& aFile) = 0;
  virtual absl::Status SyncFolder() = 0;
  virtual absl::Status Rename(const std::string& aFrom,
                              const std::string& aTo) = 0;
  virtual absl::Status Remove(const std::string& aFile) = 0;
  virtual absl::Status Truncate(const std::string& aFile, size_t aSize) = 0;
};

// A folder of the file system. Not thread-safe.
class PosixDisk final : public Disk
{
public:
  explicit PosixDisk(std::string aFolder);
  ~PosixDisk() override;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;

  // Creates the folder and its parents when they are missing, durably.
  absl::Status Open();

  absl::StatusOr<std::vector<std::string>> List() override;
  absl::StatusOr<std::string> Read(const std::string& aFile) override;
  absl::Status Append(const std::string& aFile,
                      std::string_view aBytes) override;
  absl::Status SyncFile(const std::string& aFile) override;
  absl::Status SyncFolder() override;
  absl::Status Rename(const std::string& aFrom,
                      const std::string& aTo) override;
  absl::Status Remove(const std::string& aFile) override;
  absl::Status Truncate(const std::string& aFile, size_t aSize) override;

private:
  absl::StatusOr<int> OpenForAppend(const std::string& aFile);
  void CloseDescriptor(const std::string& aFile);
  std::string PathOf(const std::string& aFile) const;

  const std::string m_folder;
  std::map<std::string, int> m_descriptors; // of the files written to
};

} // namespace chivefront::consensus
