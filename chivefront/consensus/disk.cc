// File operations with POSIX calls.
#include "chivefront/consensus/disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "chivefront/base/errors.h"

namespace chivefront::consensus {
namespace {

constexpr mode_t kFileMode = 0640;

absl::Status
MakeDiskError(base::ErrorKind aKind,
              const std::string& aOperation,
              const std::string& aPath,
              int aError)
{
  return base::MakeError(aKind,
                         aOperation + " " + aPath + ": " +
                           std::generic_category().message(aError));
}

base::ErrorKind
KindOfSystemError(int aError)
{
  switch (aError) {
    case ENOSPC:
    case EDQUOT:
      return base::ErrorKind::StorageFull;
    case EROFS:
    case EACCES:
    case EPERM:
      return base::ErrorKind::StorageReadOnly;
    default:
      return base::ErrorKind::StorageFailed;
  }
}

absl::Status
SystemError(const std::string& aOperation, const std::string& aPath, int aError)
{
  return MakeDiskError(KindOfSystemError(aError), aOperation, aPath, aError);
}

// After a failed sync the content of the file is unknown, whatever the reason,
// so it is not reported as a full disk.
absl::Status
SyncError(const std::string& aOperation, const std::string& aPath, int aError)
{
  return MakeDiskError(
    base::ErrorKind::StorageFailed, aOperation, aPath, aError);
}

absl::Status
SyncFolderAt(const std::string& aPath)
{
  const int folder = ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return SystemError("open", aPath, errno);
  }
  const int result = ::fsync(folder);
  const int error = errno;
  ::close(folder);
  return result == 0 ? absl::OkStatus() : SyncError("fsync", aPath, error);
}

} // namespace

PosixDisk::PosixDisk(std::string aFolder)
  : m_folder(std::move(aFolder))
{
}

PosixDisk::~PosixDisk()
{
  for (const auto& [name, descriptor] : m_descriptors) {
    ::close(descriptor);
  }
}

absl::Status
PosixDisk::Open()
{
  namespace fs = std::filesystem;
  std::error_code error;
  // The creation of each new folder is made durable by a sync of its parent.
  std::vector<fs::path> missing;
  for (fs::path path = fs::absolute(m_folder, error);
       !path.empty() && !fs::exists(path, error) && path != path.root_path();
       path = path.parent_path()) {
    missing.push_back(path);
  }
  for (auto path = missing.rbegin(); path != missing.rend(); ++path) {
    fs::create_directory(*path, error);
    if (error) {
      return SystemError("mkdir", path->string(), error.value());
    }
    if (auto status = SyncFolderAt(path->parent_path().string());
        !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

std::string
PosixDisk::PathOf(const std::string& aFile) const
{
  return m_folder + "/" + aFile;
}

absl::StatusOr<std::vector<std::string>>
PosixDisk::List()
{
  if (auto status = Open(); !status.ok()) {
    return status;
  }
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator files(m_folder, error);
  if (error) {
    return SystemError("list", m_folder, error.value());
  }
  for (const auto& file : files) {
    names.push_back(file.path().filename().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

absl::StatusOr<std::string>
PosixDisk::Read(const std::string& aFile)
{
  std::error_code error;
  const auto size = std::filesystem::file_size(PathOf(aFile), error);
  if (error) {
    return SystemError("stat", PathOf(aFile), error.value());
  }
  std::string bytes(size, '\0');
  std::ifstream file(PathOf(aFile), std::ios::binary);
  if (!file.read(bytes.data(), static_cast<std::streamsize>(size))) {
    return SystemError("read", PathOf(aFile), EIO);
  }
  return bytes;
}

absl::StatusOr<int>
PosixDisk::OpenForAppend(const std::string& aFile)
{
  const auto found = m_descriptors.find(aFile);
  if (found != m_descriptors.end()) {
    return found->second;
  }
  const std::string path = PathOf(aFile);
  const int descriptor =
    ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return SystemError("open", path, errno);
  }
  m_descriptors.emplace(aFile, descriptor);
  return descriptor;
}

void
PosixDisk::CloseDescriptor(const std::string& aFile)
{
  const auto found = m_descriptors.find(aFile);
  if (found != m_descriptors.end()) {
    ::close(found->second);
    m_descriptors.erase(found);
  }
}

absl::Status
PosixDisk::Append(const std::string& aFile, std::string_view aBytes)
{
  auto descriptor = OpenForAppend(aFile);
  if (!descriptor.ok()) {
    return descriptor.status();
  }
  while (!aBytes.empty()) {
    const ssize_t written = ::write(*descriptor, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return SystemError("write", PathOf(aFile), errno);
    }
    aBytes.remove_prefix(static_cast<size_t>(written));
  }
  return absl::OkStatus();
}

absl::Status
PosixDisk::SyncFile(const std::string& aFile)
{
  auto descriptor = OpenForAppend(aFile);
  if (!descriptor.ok()) {
    return descriptor.status();
  }
  return ::fdatasync(*descriptor) == 0
           ? absl::OkStatus()
           : SyncError("fdatasync", PathOf(aFile), errno);
}

absl::Status
PosixDisk::SyncFolder()
{
  return SyncFolderAt(m_folder);
}

absl::Status
PosixDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  CloseDescriptor(aFrom);
  CloseDescriptor(aTo);
  return ::rename(PathOf(aFrom).c_str(), PathOf(aTo).c_str()) == 0
           ? absl::OkStatus()
           : SystemError("rename", PathOf(aFrom), errno);
}

absl::Status
PosixDisk::Remove(const std::string& aFile)
{
  CloseDescriptor(aFile);
  return ::unlink(PathOf(aFile).c_str()) == 0
           ? absl::OkStatus()
           : SystemError("unlink", PathOf(aFile), errno);
}

absl::Status
PosixDisk::Truncate(const std::string& aFile, size_t aSize)
{
  return ::truncate(PathOf(aFile).c_str(), static_cast<off_t>(aSize)) == 0
           ? absl::OkStatus()
           : SystemError("truncate", PathOf(aFile), errno);
}

} // namespace chivefront::consensus
