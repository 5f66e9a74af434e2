// Tests of the errors of a real folder.
// Promises: config
#define BOOST_TEST_MODULE disk
#include <boost/test/unit_test.hpp>

#include <filesystem>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/consensus/disk.h"

using namespace chivefront;
using namespace chivefront::consensus;

namespace {

struct DiskFixture
{
  ~DiskFixture() { std::filesystem::remove_all(m_root); }

  const std::filesystem::path m_root =
    std::filesystem::temp_directory_path() /
    ("chivefront-disk-" + base::RequestId::Random().ToString());
  const std::filesystem::path m_folder = m_root / "a" / "b";
  PosixDisk m_disk{ m_folder.string() };
};

} // namespace

// Guards against a full disk that is reported like a broken one, after which
// the process would end. The system's device /dev/full finds no space for any
// write.
BOOST_FIXTURE_TEST_CASE(FullDiskIsToldFromABrokenOne, DiskFixture)
{
  std::filesystem::create_directories(m_folder);
  std::filesystem::create_symlink("/dev/full", m_folder / "log");
  BOOST_TEST((base::KindOf(m_disk.Append("log", "entry")) ==
              base::ErrorKind::StorageFull));
  std::filesystem::create_directory(m_folder / "taken");
  BOOST_TEST((base::KindOf(m_disk.Append("taken", "entry")) ==
              base::ErrorKind::StorageFailed));
}

// Guards against endless restarts on a host whose folder can't be written: the
// process has to tell this from a broken disk. Nobody can create folders in the
// system's folder /sys.
BOOST_AUTO_TEST_CASE(ReadOnlyFolderIsToldFromABrokenDisk)
{
  PosixDisk disk("/sys/chivefront-disk-test");
  BOOST_TEST(
    (base::KindOf(disk.List().status()) == base::ErrorKind::StorageReadOnly));
}

// Guards against a sync that failed and is reported as a full disk: what the
// file holds is unknown then, so the replica may not go on with it.
BOOST_FIXTURE_TEST_CASE(FailedSyncIsNoFullDisk, DiskFixture)
{
  std::filesystem::create_directories(m_folder);
  std::filesystem::create_symlink("/dev/full", m_folder / "log");
  BOOST_TEST(
    (base::KindOf(m_disk.SyncFile("log")) == base::ErrorKind::StorageFailed));
}

// Guards against a replica that stays paused for good because its folder could
// not be created while the disk was full.
BOOST_FIXTURE_TEST_CASE(MissingFolderIsCreatedOnTheNextLook, DiskFixture)
{
  const auto names = m_disk.List();
  BOOST_REQUIRE(names.ok());
  BOOST_TEST(names->empty());
  BOOST_TEST(m_disk.Append("log", "entry").ok());
  BOOST_TEST(m_disk.SyncFile("log").ok());
}
