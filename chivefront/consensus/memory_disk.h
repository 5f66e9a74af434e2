// A disk for tests that keeps files in memory, injects failures, and loses
// unsynced data in a crash.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "chivefront/base/errors.h"
#include "chivefront/consensus/disk.h"

namespace chivefront::consensus {

class MemoryDisk final : public Disk
{
public:
  // The operation with this number, counted from 1, and all later operations
  // fail. A failing append writes half of its bytes. 0 for no failure.
  void FailFrom(uint64_t aOperation) { m_failFrom = aOperation; }
  // While full, an append writes half of its bytes and returns StorageFull.
  void SetFull(bool aFull) { m_full = aFull; }
  void RemoveAll()
  {
    m_folder.clear();
    m_syncedFolder.clear();
  }
  uint64_t Operations() const { return m_operations; }
  uint64_t Syncs() const { return m_syncs; }

  // Simulates a power loss: a random part of the unsynced bytes remains, and
  // each entry of the folder is either in its last synced or in its last state.
  void Crash(std::mt19937_64& aRandom)
  {
    m_failFrom = 0;
    Folder folder;
    for (const Folder* known : { &m_syncedFolder, &m_folder }) {
      for (const auto& [name, file] : *known) {
        const Folder& kept = aRandom() % 2 == 0 ? m_syncedFolder : m_folder;
        if (const auto found = kept.find(name); found != kept.end()) {
          folder[name] = found->second;
        }
      }
    }
    m_folder = folder;
    for (auto& [name, file] : m_folder) {
      if (file->m_bytes.size() > file->m_synced.size()) {
        const size_t unsynced = file->m_bytes.size() - file->m_synced.size();
        file->m_bytes.resize(file->m_synced.size() +
                             aRandom() % (unsynced + 1));
      } else {
        file->m_bytes = file->m_synced;
      }
      file->m_synced = file->m_bytes;
    }
    m_syncedFolder = m_folder;
  }
  std::string& Bytes(const std::string& aFile) { return FileAt(aFile).m_bytes; }

  absl::StatusOr<std::vector<std::string>> List() override
  {
    std::vector<std::string> names;
    for (const auto& [name, file] : m_folder) {
      names.push_back(name);
    }
    return names;
  }
  absl::StatusOr<std::string> Read(const std::string& aFile) override
  {
    return FileAt(aFile).m_bytes;
  }
  absl::Status Append(const std::string& aFile,
                      std::string_view aBytes) override
  {
    if (NextOperationFails()) {
      FileAt(aFile).m_bytes.append(aBytes.substr(0, aBytes.size() / 2));
      return InjectedFailure();
    }
    if (m_full) {
      FileAt(aFile).m_bytes.append(aBytes.substr(0, aBytes.size() / 2));
      return base::MakeError(base::ErrorKind::StorageFull, "injected");
    }
    FileAt(aFile).m_bytes.append(aBytes);
    return absl::OkStatus();
  }
  absl::Status SyncFile(const std::string& aFile) override
  {
    ++m_syncs;
    if (NextOperationFails()) {
      return InjectedFailure();
    }
    FileAt(aFile).m_synced = FileAt(aFile).m_bytes;
    return absl::OkStatus();
  }
  absl::Status SyncFolder() override
  {
    if (NextOperationFails()) {
      return InjectedFailure();
    }
    m_syncedFolder = m_folder;
    return absl::OkStatus();
  }
  absl::Status Rename(const std::string& aFrom, const std::string& aTo) override
  {
    if (NextOperationFails()) {
      return InjectedFailure();
    }
    m_folder[aTo] = m_folder[aFrom];
    m_folder.erase(aFrom);
    return absl::OkStatus();
  }
  absl::Status Remove(const std::string& aFile) override
  {
    if (NextOperationFails()) {
      return InjectedFailure();
    }
    m_folder.erase(aFile);
    return absl::OkStatus();
  }
  absl::Status Truncate(const std::string& aFile, size_t aSize) override
  {
    if (NextOperationFails()) {
      return InjectedFailure();
    }
    FileAt(aFile).m_bytes.resize(aSize);
    return absl::OkStatus();
  }

private:
  struct File
  {
    std::string m_bytes;
    std::string m_synced;
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;

  bool NextOperationFails()
  {
    ++m_operations;
    return m_failFrom != 0 && m_operations >= m_failFrom;
  }
  static absl::Status InjectedFailure()
  {
    return base::MakeError(base::ErrorKind::StorageFailed, "injected");
  }
  File& FileAt(const std::string& aFile)
  {
    auto& file = m_folder[aFile];
    if (!file) {
      file = std::make_shared<File>();
    }
    return *file;
  }

  Folder m_folder;
  Folder m_syncedFolder;
  uint64_t m_operations = 0;
  uint64_t m_syncs = 0;
  uint64_t m_failFrom = 0;
  bool m_full = false;
};

} // namespace chivefront::consensus
