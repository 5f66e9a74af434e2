// The thread of a group, with its queue of calls and its clock.
#include "chivefront/consensus/group.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <variant>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"
#include "chivefront/consensus/disk.h"
#include "chivefront/consensus/raft_driver.h"
#include "chivefront/consensus/volatile_disk.h"

namespace chivefront::consensus {
namespace {

struct Proposal
{
  std::string m_command;
  Group::ProposeCallback m_done;
};

struct ConfirmRequest
{
  Group::ConfirmCallback m_done;
};

struct ReceivedPayload
{
  std::string m_from;
  std::string m_payload;
};

struct TransferRequest
{};

using Work =
  std::variant<Proposal, ConfirmRequest, ReceivedPayload, TransferRequest>;

constexpr base::NameTable<RaftRole, 4> kRoleNames{ {
  { { RaftRole::Follower, "follower" },
    { RaftRole::Candidate, "candidate" },
    { RaftRole::Leader, "leader" },
    { RaftRole::Learner, "learner" } },
} };

absl::Status
NotLeader()
{
  return base::MakeError(base::ErrorKind::NotLeader,
                         "this replica does not lead the group");
}

absl::Status
Unavailable(std::string_view aWhy)
{
  return base::MakeError(base::ErrorKind::Unavailable, aWhy);
}

std::unique_ptr<Disk>
MakeDisk(const GroupOptions& aOptions)
{
  if (aOptions.m_diskless) {
    return std::make_unique<VolatileDisk>();
  }
  return std::make_unique<PosixDisk>(aOptions.m_folder);
}

} // namespace

GroupStatus
CurrentStatus(GroupStatus aPublished, base::TimePoint aNow)
{
  if (aPublished.m_role == RaftRole::Leader &&
      aNow >= aPublished.m_leadsUntil) {
    aPublished.m_role = RaftRole::Follower;
    aPublished.m_leader.clear();
    aPublished.m_caughtUpVoters = 0;
    aPublished.m_repaired = false;
  }
  return aPublished;
}

struct Group::Impl
{
  Impl(GroupOptions aOptions,
       StateMachine& aMachine,
       SendFunction aSend,
       FatalFunction aFatal,
       base::EventLog& aEvents)
    : m_options(std::move(aOptions))
    , m_fatal(std::move(aFatal))
    , m_events(aEvents)
    , m_disk(MakeDisk(m_options))
    , m_driver(m_options, aMachine, *m_disk, std::move(aSend), aEvents)
  {
  }

  absl::Status Start();
  void Stop();
  void Enqueue(Work aWork);
  void Run();
  std::deque<Work> WaitForWork();
  void StopAfterFailure(const absl::Status& aStatus);
  void Handle(Proposal& aProposal);
  void Handle(ConfirmRequest& aRequest);
  void Handle(ReceivedPayload& aPayload);
  void Handle(TransferRequest& aRequest);
  void FailAll(const absl::Status& aStatus);
  void PublishStatus();
  base::TimePoint Now() const { return base::SteadyClock::Instance().Now(); }

  const GroupOptions m_options;
  const FatalFunction m_fatal;
  base::EventLog& m_events;

  std::mutex m_lock; // guards the next four members
  std::condition_variable m_wake;
  std::deque<Work> m_work;
  bool m_stop = false;
  GroupStatus m_status;

  // Used only by the group's thread once the thread runs.
  const std::unique_ptr<Disk> m_disk;
  RaftDriver m_driver;

  std::thread m_thread;
};

absl::Status
Group::Impl::Start()
{
  const absl::Status status =
    m_driver.Open(base::RandomBits(), base::RandomBits(), Now());
  if (!status.ok()) {
    return status;
  }
  PublishStatus();
  m_thread = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void
Group::Impl::Stop()
{
  {
    const std::lock_guard guard(m_lock);
    m_stop = true;
  }
  m_wake.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
Group::Impl::Enqueue(Work aWork)
{
  {
    const std::lock_guard guard(m_lock);
    if (!m_stop) {
      m_work.push_back(std::move(aWork));
      m_wake.notify_one();
      return;
    }
  }
  if (auto* proposal = std::get_if<Proposal>(&aWork)) {
    proposal->m_done(NotLeader());
  } else if (auto* request = std::get_if<ConfirmRequest>(&aWork)) {
    request->m_done(NotLeader());
  }
}

std::deque<Work>
Group::Impl::WaitForWork()
{
  std::unique_lock guard(m_lock);
  const auto span = m_driver.NextDeadline() - Now();
  m_wake.wait_for(
    guard, span.ToChrono(), [this] { return m_stop || !m_work.empty(); });
  std::deque<Work> work;
  if (m_options.m_maxBatch == 0 || m_work.size() <= m_options.m_maxBatch) {
    work.swap(m_work);
    return work;
  }
  for (uint64_t i = 0; i < m_options.m_maxBatch; ++i) {
    work.push_back(std::move(m_work.front()));
    m_work.pop_front();
  }
  return work;
}

void
Group::Impl::Run()
{
  for (;;) {
    std::deque<Work> work = WaitForWork();
    {
      const std::lock_guard guard(m_lock);
      if (m_stop) {
        std::move(work.begin(), work.end(), std::back_inserter(m_work));
        break;
      }
    }
    for (Work& item : work) {
      std::visit([this](auto& aItem) { Handle(aItem); }, item);
    }
    if (auto status = m_driver.Process(Now()); !status.ok()) {
      StopAfterFailure(status);
      break;
    }
    PublishStatus();
  }
  FailAll(Unavailable("the group has stopped"));
}

void
Group::Impl::Handle(Proposal& aProposal)
{
  m_driver.Propose(std::move(aProposal.m_command), std::move(aProposal.m_done));
}

void
Group::Impl::Handle(ConfirmRequest& aRequest)
{
  m_driver.ConfirmLeadership(std::move(aRequest.m_done));
}

void
Group::Impl::Handle(ReceivedPayload& aPayload)
{
  m_driver.Receive(aPayload.m_from, aPayload.m_payload, Now());
}

void
Group::Impl::Handle(TransferRequest&)
{
  m_driver.TransferLeadership(Now());
}

void
Group::Impl::StopAfterFailure(const absl::Status& aStatus)
{
  base::LogError("consensus",
                 "stopping the group, because its log can't be written",
                 { { "error", base::MessageOf(aStatus) } });
  {
    const std::lock_guard guard(m_lock);
    m_stop = true;
    m_status = GroupStatus();
  }
  m_fatal(aStatus);
}

void
Group::Impl::FailAll(const absl::Status& aStatus)
{
  std::deque<Work> work;
  {
    const std::lock_guard guard(m_lock);
    m_stop = true;
    work.swap(m_work);
    m_status.m_role = RaftRole::Follower;
    m_status.m_leader.clear();
  }
  m_driver.FailAll(aStatus);
  for (Work& item : work) {
    if (auto* proposal = std::get_if<Proposal>(&item)) {
      proposal->m_done(aStatus);
    } else if (auto* request = std::get_if<ConfirmRequest>(&item)) {
      request->m_done(aStatus);
    }
  }
}

void
Group::Impl::PublishStatus()
{
  GroupStatus status = m_driver.Status(Now());
  const std::lock_guard guard(m_lock);
  if (status.m_role != m_status.m_role || status.m_term != m_status.m_term) {
    m_events.Record("raft-role",
                    { { "group", std::to_string(m_options.m_group) },
                      { "role", std::string(kRoleNames.Name(status.m_role)) },
                      { "term", std::to_string(status.m_term) } });
  }
  if (status.m_replicas != m_status.m_replicas) {
    m_events.Record(
      "raft-membership",
      { { "group", std::to_string(m_options.m_group) },
        { "replicas", std::to_string(status.m_replicas.size()) } });
  }
  if (status.m_repaired && !m_status.m_repaired) {
    m_events.Record("raft-repaired",
                    { { "group", std::to_string(m_options.m_group) } });
  }
  m_status = std::move(status);
}

Group::Group(GroupOptions aOptions,
             StateMachine& aMachine,
             SendFunction aSend,
             FatalFunction aFatal,
             base::EventLog& aEvents)
  : m_impl(std::make_unique<Impl>(std::move(aOptions),
                                  aMachine,
                                  std::move(aSend),
                                  std::move(aFatal),
                                  aEvents))
{
}

Group::~Group()
{
  Stop();
}

absl::Status
Group::Start()
{
  return m_impl->Start();
}

void
Group::Stop()
{
  m_impl->Stop();
}

void
Group::Propose(std::string aCommand, ProposeCallback aDone)
{
  m_impl->Enqueue(Proposal{ std::move(aCommand), std::move(aDone) });
}

void
Group::ConfirmLeadership(ConfirmCallback aDone)
{
  m_impl->Enqueue(ConfirmRequest{ std::move(aDone) });
}

void
Group::Receive(std::string aFrom, std::string aPayload)
{
  m_impl->Enqueue(ReceivedPayload{ std::move(aFrom), std::move(aPayload) });
}

void
Group::TransferLeadership()
{
  m_impl->Enqueue(TransferRequest{});
}

GroupStatus
Group::Status() const
{
  const std::lock_guard guard(m_impl->m_lock);
  return CurrentStatus(m_impl->m_status, m_impl->Now());
}

bool
Group::IsLeader() const
{
  const std::lock_guard guard(m_impl->m_lock);
  return m_impl->m_status.m_role == RaftRole::Leader &&
         m_impl->Now() < m_impl->m_status.m_leadsUntil;
}

} // namespace chivefront::consensus
