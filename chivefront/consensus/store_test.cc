// Tests of the durable log: failures at every operation, damaged files.
// Promises: config
#define BOOST_TEST_MODULE store
#include <boost/test/unit_test.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/consensus/memory_disk.h"
#include "chivefront/consensus/store.h"

using namespace chivefront;
using namespace chivefront::consensus;

namespace {

constexpr uint64_t kIdentity = 0xabcdef;
constexpr size_t kSmallSegment = 600;

std::vector<Entry>
Entries(uint64_t aFirst, uint64_t aCount, uint64_t aTerm)
{
  std::vector<Entry> entries;
  for (uint64_t i = aFirst; i < aFirst + aCount; ++i) {
    entries.push_back({ aTerm,
                        i,
                        EntryKind::Command,
                        std::to_string(aTerm) + "/" + std::to_string(i) });
  }
  return entries;
}

// The expected content of the log after the operations acknowledged so far.
struct Model
{
  uint64_t m_term = 0;
  uint64_t m_snapshot = 0;
  std::map<uint64_t, uint64_t> m_terms; // by index, after the snapshot

  bool operator==(const Model&) const = default;
};

Model
ModelOf(const StoredState& aState)
{
  Model model{ aState.m_hardState.m_term, 0, {} };
  if (aState.m_snapshot) {
    model.m_snapshot = aState.m_snapshot->m_index;
  }
  for (const Entry& entry : aState.m_entries) {
    if (entry.m_index > model.m_snapshot) {
      model.m_terms[entry.m_index] = entry.m_term;
    }
  }
  return model;
}

using Step = std::function<absl::Status(Store&, Model&)>;

Step
SaveStep(uint64_t aFirst, uint64_t aCount, uint64_t aTerm, uint64_t aBefore)
{
  return [=](Store& aStore, Model& aModel) {
    aModel.m_term = aTerm;
    aModel.m_terms.erase(aModel.m_terms.lower_bound(aFirst),
                         aModel.m_terms.end());
    for (uint64_t i = aFirst; i < aFirst + aCount; ++i) {
      aModel.m_terms[i] = aTerm;
    }
    HardState hard;
    hard.m_term = aTerm;
    return aStore.Save(hard, Entries(aFirst, aCount, aTerm), aBefore);
  };
}

Step
SnapshotStep(uint64_t aIndex, uint64_t aTerm, bool aInstall)
{
  return [=](Store& aStore, Model& aModel) {
    aModel.m_snapshot = aIndex;
    aModel.m_terms.erase(aModel.m_terms.begin(),
                         aInstall ? aModel.m_terms.end()
                                  : aModel.m_terms.upper_bound(aIndex));
    const Snapshot snapshot{ aIndex, aTerm, {}, "state" };
    HardState hard;
    hard.m_term = aModel.m_term;
    if (aInstall) {
      return aStore.InstallSnapshot(snapshot, hard);
    }
    const absl::Status status = aStore.SaveSnapshot(snapshot);
    return status.ok() ? aStore.RemoveSegmentsThrough(aIndex) : status;
  };
}

// Appends, new segments, a conflict that goes back over several segments,
// snapshots, and the installation of a snapshot.
const std::vector<Step>&
Steps()
{
  static const std::vector<Step> kSteps{
    SaveStep(1, 5, 1, 0),       SaveStep(6, 20, 2, 1),
    SaveStep(26, 20, 2, 2),     SaveStep(46, 20, 2, 2),
    SaveStep(20, 10, 3, 2),     SaveStep(30, 15, 3, 3),
    SnapshotStep(18, 2, false), SnapshotStep(35, 3, false),
    SaveStep(45, 5, 4, 3),      SnapshotStep(44, 3, false),
    SnapshotStep(90, 5, true),  SaveStep(91, 4, 6, 5),
  };
  return kSteps;
}

} // namespace

// Guards against acknowledged writes that are lost by a crash at any operation,
// and against a crash that makes the log unreadable.
BOOST_AUTO_TEST_CASE(CrashAtEveryOperation)
{
  for (uint64_t seed = 0; seed < 20; ++seed) {
    std::mt19937_64 random(seed);
    for (uint64_t failFrom = 1;; ++failFrom) {
      BOOST_TEST_CONTEXT("seed " << seed << " operation " << failFrom)
      {
        MemoryDisk disk;
        disk.FailFrom(failFrom);
        Model before;
        Model after;
        bool failed = true;
        {
          Store store(disk, kSmallSegment);
          if (store.Open(kIdentity).ok()) {
            failed = false;
            for (const Step& step : Steps()) {
              before = after;
              if (!step(store, after).ok()) {
                failed = true;
                break;
              }
              before = after;
            }
          }
        }
        disk.Crash(random);
        Store store(disk, kSmallSegment);
        auto state = store.Open(kIdentity);
        BOOST_TEST_REQUIRE(state.ok(), state.status().ToString());
        const Model found = ModelOf(*state);
        BOOST_TEST((found == before || found == after));
        // The recovered log must accept further writes and keep them.
        const uint64_t last = state->m_baseIndex + state->m_entries.size();
        HardState hard = state->m_hardState;
        hard.m_term = 9;
        const uint64_t term = state->m_entries.empty()
                                ? state->m_baseTerm
                                : state->m_entries.back().m_term;
        BOOST_TEST(store.Save(hard, Entries(last + 1, 3, 9), term).ok());
        disk.Crash(random);
        auto again = Store(disk, kSmallSegment).Open(kIdentity);
        BOOST_TEST_REQUIRE(again.ok(), again.status().ToString());
        BOOST_TEST(again->m_entries.back().m_index == last + 3);
        if (!failed) {
          break;
        }
      }
    }
  }
}

// Guards against a write that is acknowledged after an earlier sync failed.
BOOST_AUTO_TEST_CASE(NothingIsAcknowledgedAfterAFailure)
{
  MemoryDisk disk;
  Store store(disk, kSmallSegment);
  BOOST_REQUIRE(store.Open(kIdentity).ok());
  disk.FailFrom(disk.Operations() + 2); // the sync of the next write
  BOOST_TEST(!store.Save(HardState(), Entries(1, 1, 1), 0).ok());
  disk.FailFrom(0);
  const absl::Status later = store.Save(HardState(), Entries(1, 1, 1), 0);
  BOOST_TEST((base::KindOf(later) == base::ErrorKind::StorageFailed));
}

// Guards against damaged bytes that are mistaken for the end of the log.
BOOST_AUTO_TEST_CASE(DamageInTheMiddleIsCorrupt)
{
  MemoryDisk disk;
  const std::string name = "log-0000000000000001";
  size_t lastRecord = 0;
  {
    Store store(disk, 1 << 20);
    BOOST_REQUIRE(store.Open(kIdentity).ok());
    for (uint64_t i = 1; i <= 4; ++i) {
      lastRecord = disk.Bytes(name).size();
      BOOST_REQUIRE(store.Save(HardState(), Entries(i, 1, 1), 1).ok());
    }
  }
  const std::string intact = disk.Bytes(name);
  for (size_t i = 0; i < intact.size(); ++i) {
    disk.Bytes(name) = intact;
    disk.Bytes(name)[i] ^= 0x10;
    auto state = Store(disk, 1 << 20).Open(kIdentity);
    if (i < lastRecord) {
      BOOST_TEST((base::KindOf(state.status()) == base::ErrorKind::Corrupt),
                 "byte " << i);
    } else {
      // The damage can't be distinguished from a torn write, so the last record
      // is dropped.
      BOOST_TEST(state.ok());
      BOOST_TEST(state->m_entries.size() == 3U);
    }
  }
  for (size_t size = lastRecord; size < intact.size(); ++size) {
    disk.Bytes(name) = intact.substr(0, size);
    auto state = Store(disk, 1 << 20).Open(kIdentity);
    BOOST_TEST_REQUIRE(state.ok());
    BOOST_TEST(state->m_entries.size() == 3U);
  }
}

// Guards against a start from a folder with missing files as if it were
// complete.
BOOST_AUTO_TEST_CASE(MissingFilesAreCorrupt)
{
  const auto prepare = [](MemoryDisk& aDisk) {
    Store store(aDisk, kSmallSegment);
    BOOST_REQUIRE(store.Open(kIdentity).ok());
    for (uint64_t i = 0; i < 6; ++i) {
      BOOST_REQUIRE(
        store.Save(HardState(), Entries(1 + i * 10, 10, 1), 1).ok());
    }
    BOOST_REQUIRE(store.SaveSnapshot({ 25, 1, {}, "s" }).ok());
    BOOST_REQUIRE(store.RemoveSegmentsThrough(25).ok());
  };
  MemoryDisk whole;
  prepare(whole);
  BOOST_TEST(Store(whole, kSmallSegment).Open(kIdentity).ok());
  const auto names = *whole.List();
  BOOST_TEST_REQUIRE(names.size() >= 4U);
  for (const std::string& name : names) {
    if (name == names[names.size() - 2]) {
      continue; // the last segment may as well never have been created
    }
    MemoryDisk disk;
    prepare(disk);
    BOOST_REQUIRE(disk.Remove(name).ok());
    auto state = Store(disk, kSmallSegment).Open(kIdentity + 1);
    BOOST_TEST((base::KindOf(state.status()) == base::ErrorKind::Corrupt),
               name);
  }
}
