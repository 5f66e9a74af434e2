// File operations over POSIX calls.
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
Failed(const std::string& aOperation, const std::string& aPath, int aError)
{
  return base::MakeError(base::ErrorKind::StorageFailed,
                         aOperation + " " + aPath + ": " +
                           std::generic_category().message(aError));
}

absl::Status
SyncPath(const std::string& aPath)
{
  const int folder = ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return Failed("open", aPath, errno);
  }
  const int result = ::fsync(folder);
  const int error = errno;
  ::close(folder);
  return result == 0 ? absl::OkStatus() : Failed("fsync", aPath, error);
}

} // namespace

PosixDisk::PosixDisk(std::string aFolder)
  : m_folder(std::move(aFolder))
{
}

PosixDisk::~PosixDisk()
{
  for (const auto& [name, descriptor] : m_open) {
    ::close(descriptor);
  }
}

absl::Status
PosixDisk::Open()
{
  namespace fs = std::filesystem;
  std::error_code error;
  // Folders that are new must be synced into their parents one by one.
  std::vector<fs::path> missing;
  for (fs::path path = fs::absolute(m_folder, error);
       !path.empty() && !fs::exists(path, error) && path != path.root_path();
       path = path.parent_path()) {
    missing.push_back(path);
  }
  for (auto path = missing.rbegin(); path != missing.rend(); ++path) {
    fs::create_directory(*path, error);
    if (error) {
      return Failed("mkdir", path->string(), error.value());
    }
    if (auto status = SyncPath(path->parent_path().string()); !status.ok()) {
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
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator files(m_folder, error);
  if (error) {
    return Failed("list", m_folder, error.value());
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
    return Failed("stat", PathOf(aFile), error.value());
  }
  std::string bytes(size, '\0');
  std::ifstream file(PathOf(aFile), std::ios::binary);
  if (!file.read(bytes.data(), static_cast<std::streamsize>(size))) {
    return Failed("read", PathOf(aFile), EIO);
  }
  return bytes;
}

absl::StatusOr<int>
PosixDisk::Descriptor(const std::string& aFile)
{
  const auto found = m_open.find(aFile);
  if (found != m_open.end()) {
    return found->second;
  }
  const std::string path = PathOf(aFile);
  const int descriptor =
    ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return Failed("open", path, errno);
  }
  m_open.emplace(aFile, descriptor);
  return descriptor;
}

void
PosixDisk::Forget(const std::string& aFile)
{
  const auto found = m_open.find(aFile);
  if (found != m_open.end()) {
    ::close(found->second);
    m_open.erase(found);
  }
}

absl::Status
PosixDisk::Append(const std::string& aFile, std::string_view aBytes)
{
  auto descriptor = Descriptor(aFile);
  if (!descriptor.ok()) {
    return descriptor.status();
  }
  while (!aBytes.empty()) {
    const ssize_t written = ::write(*descriptor, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return Failed("write", PathOf(aFile), errno);
    }
    aBytes.remove_prefix(static_cast<size_t>(written));
  }
  return absl::OkStatus();
}

absl::Status
PosixDisk::SyncFile(const std::string& aFile)
{
  auto descriptor = Descriptor(aFile);
  if (!descriptor.ok()) {
    return descriptor.status();
  }
  return ::fdatasync(*descriptor) == 0
           ? absl::OkStatus()
           : Failed("fdatasync", PathOf(aFile), errno);
}

absl::Status
PosixDisk::SyncFolder()
{
  return SyncPath(m_folder);
}

absl::Status
PosixDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  Forget(aFrom);
  Forget(aTo);
  return ::rename(PathOf(aFrom).c_str(), PathOf(aTo).c_str()) == 0
           ? absl::OkStatus()
           : Failed("rename", PathOf(aFrom), errno);
}

absl::Status
PosixDisk::Remove(const std::string& aFile)
{
  Forget(aFile);
  return ::unlink(PathOf(aFile).c_str()) == 0
           ? absl::OkStatus()
           : Failed("unlink", PathOf(aFile), errno);
}

absl::Status
PosixDisk::Truncate(const std::string& aFile, size_t aSize)
{
  return ::truncate(PathOf(aFile).c_str(), static_cast<off_t>(aSize)) == 0
           ? absl::OkStatus()
           : Failed("truncate", PathOf(aFile), errno);
}

} // namespace chivefront::consensus
