// Records and bytes that a leading control process sends to its entries while
// upstreams register, counted without a network.
#define BOOST_TEST_MODULE site_answer_size
#include <boost/test/unit_test.hpp>

#include "chivefront/site/announcer.h"
#include "chivefront/site/registry_feed.h"
#include "chivefront/wire/codec.h"

using namespace chivefront;
using namespace chivefront::site;
using routing::InstanceState;

namespace {

constexpr size_t kEntries = 300;
constexpr size_t kUpstreams = 3000;
constexpr size_t kProcesses = 12; // that upstreams register with
constexpr int64_t kStepMillis = 20;
constexpr int64_t kPollMillis = 200;
constexpr int64_t kRegistrationMillis = 1200;
constexpr uint64_t kEpoch = 7;

struct Sent
{
  size_t m_records = 0;
  size_t m_silent = 0;
  size_t m_bytes = 0;
  size_t m_answers = 0;
};

// The registry of the leader, and what its entries know of it.
class Site
{
public:
  // aOld: entries and control processes of a release that sends renewals to
  // entries and passes them on at once.
  Site(size_t aUpstreams, bool aOld)
    : m_upstreams(aUpstreams)
    , m_old(aOld)
    , m_known(kEntries)
  {
    for (size_t i = 0; i < m_upstreams; ++i) {
      Register(i, InstanceState::Ready);
    }
    do { // until all entries know all
      m_sent = {};
      for (size_t entry = 0; entry < kEntries; ++entry) {
        Poll(entry);
      }
      m_firstBytes.push_back(m_sent.m_bytes);
    } while (m_sent.m_records > 0);
  }

  // Upstreams register and entries poll, spread over their periods.
  Sent Run(int64_t aMillis)
  {
    m_sent = {};
    const int64_t until = m_now + aMillis;
    while (m_now < until) {
      m_now += kStepMillis;
      for (size_t i = 0; i < m_upstreams; ++i) {
        if (IsDue(i * kStepMillis, kRegistrationMillis)) {
          Register(i,
                   m_leaving.count(i) > 0 ? InstanceState::Draining
                                          : InstanceState::Ready);
        }
      }
      PassOn();
      m_leader.MarkSilent(Now());
      for (size_t entry = 0; entry < kEntries; ++entry) {
        if (IsDue(entry * kStepMillis, kPollMillis)) {
          Poll(entry);
        }
      }
    }
    return m_sent;
  }

  // Bytes of the answers to all entries, by poll, before Run.
  const std::vector<size_t>& FirstBytes() const { return m_firstBytes; }

  // These upstreams drain from their next registration on.
  void Leave(std::set<size_t> aUpstreams) { m_leaving = std::move(aUpstreams); }

private:
  base::TimePoint Now() const { return base::TimePoint(base::Millis(m_now)); }
  bool IsDue(size_t aPhase, int64_t aPeriod) const
  {
    return (m_now + static_cast<int64_t>(aPhase)) % aPeriod < kStepMillis;
  }

  void Register(size_t aUpstream, InstanceState aState)
  {
    routing::Instance record;
    record.m_id = "engine-" + std::to_string(aUpstream);
    record.m_service = "assist-llm";
    record.m_address = { "10.1." + std::to_string(aUpstream / 200) + "." +
                           std::to_string(aUpstream % 200),
                         8000 };
    record.m_domain = "riga-a";
    record.m_version = "2026-12-01.1";
    record.m_slots = 64;
    record.m_state = aState;
    record.m_born = 1796000000000;
    record.m_sequence = ++m_sequence;
    record.m_reportedAt = Now();
    record.m_coldUntil = Now();
    const size_t process = aUpstream % kProcesses; // 0: the leader
    const routing::Instance* known = m_leader.Find(record.m_id);
    const bool isRenewal =
      known != nullptr && routing::IsRenewal(*known, record);
    if (process == 0 || m_old || !isRenewal) {
      m_leader.Merge(record);
    } else {
      m_waiting[process][record.m_id] = record;
    }
  }

  // The other processes pass on their batches.
  void PassOn()
  {
    for (auto& [process, records] : m_waiting) {
      if (IsDue(process * kStepMillis, kRenewalPeriod.Count())) {
        for (const auto& [id, record] : records) {
          m_leader.Merge(record);
        }
        records.clear();
      }
    }
  }

  void Poll(size_t aEntry)
  {
    wire::WatchRequestT request;
    request.registry_epoch = kEpoch;
    request.registry_sequence = m_known[aEntry].m_sequence;
    request.registry_floor = m_known[aEntry].m_floor;
    request.omit_renewals = !m_old;
    wire::WatchReplyT reply;
    AnswerRegistry(m_leader, kEpoch, request, Now(), reply);
    m_known[aEntry].m_sequence = reply.registry_sequence;
    if (reply.registry_snapshot) {
      m_known[aEntry].m_floor = reply.registry_floor;
    }
    m_sent.m_records += reply.upstreams.size();
    m_sent.m_silent += reply.silent.size();
    m_sent.m_answers += 1;
    m_sent.m_bytes +=
      wire::EncodeFrame(wire::MakeMessage(std::move(reply), 1)).size();
  }

  const size_t m_upstreams;
  const bool m_old;
  int64_t m_now = 1000000;
  uint64_t m_sequence = 0;
  routing::Registry m_leader;
  std::map<size_t, std::map<std::string, routing::Instance>> m_waiting;
  std::vector<routing::RegistryPosition> m_known; // by entry
  std::vector<size_t> m_firstBytes;
  std::set<size_t> m_leaving;
  Sent m_sent;
};

void
Print(const std::string& aWhat, const Sent& aSent, int64_t aMillis)
{
  BOOST_TEST_MESSAGE(aWhat << ": in " << aMillis << " ms " << aSent.m_answers
                           << " answers, " << aSent.m_records << " records, "
                           << aSent.m_silent << " silent, " << aSent.m_bytes
                           << " bytes");
}

} // namespace

// Guards against answers that grow with entries times upstreams. An answer
// without a change is as long with 3,000 upstreams as with 30, and a change
// goes to each entry once.
BOOST_AUTO_TEST_CASE(AnswersGrowWithChangesOnly)
{
  constexpr int64_t kMillis = 8000;
  Site site(kUpstreams, false);
  const Sent steady = Site(kUpstreams, false).Run(kMillis);
  Print("300 entries, 3,000 upstreams", steady, kMillis);
  const Sent small = Site(30, false).Run(kMillis);
  Print("300 entries, 30 upstreams", small, kMillis);
  BOOST_TEST(steady.m_records == 0U);
  BOOST_TEST(steady.m_silent == 0U);
  BOOST_TEST(steady.m_answers == small.m_answers);
  BOOST_TEST(steady.m_bytes == small.m_bytes);

  site.Leave({ 0, 1, 2, 1499, 2999 });
  const Sent leaving = site.Run(kMillis);
  Print("the same, 5 upstreams leave", leaving, kMillis);
  BOOST_TEST(leaving.m_records == 5 * kEntries);
  BOOST_TEST(leaving.m_silent == 0U);
}

// Guards against a new leader that runs out of memory: all entries begin to
// poll it at the same time, and what it queues for them grew with entries times
// upstreams.
BOOST_AUTO_TEST_CASE(FirstAnswersAreBounded)
{
  // More than any record here takes.
  constexpr size_t kRecordBytes = 256;
  const Site old(kUpstreams, true);
  const Site site(kUpstreams, false);
  BOOST_TEST_MESSAGE("first answers to 300 entries: "
                     << site.FirstBytes().front() << " bytes in each of "
                     << site.FirstBytes().size() - 1 << " polls; older form "
                     << old.FirstBytes().front());
  for (const size_t bytes : site.FirstBytes()) {
    BOOST_TEST(bytes <= kEntries * (routing::kMaxNews + 1) * kRecordBytes);
  }
}

// Guards against a count that misses renewals: the form of older releases sends
// each upstream to each entry once in the period of registrations.
BOOST_AUTO_TEST_CASE(OlderFormSendsEachRenewal)
{
  Site site(kUpstreams, true);
  const Sent sent = site.Run(kRegistrationMillis);
  Print("older form", sent, kRegistrationMillis);
  BOOST_TEST(sent.m_records >= kUpstreams * kEntries / 2);
}
