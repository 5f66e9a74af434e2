// The thread, clock, disk and callbacks around the Raft core.
#include "chivefront/consensus/group.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <variant>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"
#include "chivefront/consensus/codec.h"
#include "chivefront/consensus/core.h"
#include "chivefront/consensus/disk.h"
#include "chivefront/consensus/store.h"

namespace chivefront::consensus {
namespace {

struct Proposal
{
  std::string m_command;
  Group::ProposeCallback m_done;
};

struct Question
{
  Group::ConfirmCallback m_done;
};

struct Received
{
  std::string m_from;
  std::string m_payload;
};

struct TransferOrder
{};

using Work = std::variant<Proposal, Question, Received, TransferOrder>;

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

} // namespace

struct Group::Core
{
  struct Waiting
  {
    uint64_t m_term = 0;
    ProposeCallback m_done;
  };

  Core(GroupOptions aOptions,
       StateMachine& aMachine,
       SendFunction aSend,
       FatalFunction aFatal,
       base::EventLog& aEvents)
    : m_options(std::move(aOptions))
    , m_machine(aMachine)
    , m_send(std::move(aSend))
    , m_fatal(std::move(aFatal))
    , m_events(aEvents)
    , m_disk(m_options.m_folder)
    , m_store(m_disk, m_options.m_segmentBytes)
  {
  }

  absl::Status Start();
  void Stop();
  void Add(Work aWork);
  void Run();
  std::deque<Work> Wait();
  bool Process();
  absl::Status Persist(Actions& aActions);
  absl::Status Apply();
  absl::Status TakeSnapshotIfDue();
  void SendAll(std::vector<Envelope>& aEnvelopes);
  void Handle(Proposal& aProposal);
  void Handle(Question& aQuestion);
  void Handle(Received& aReceived);
  void Handle(TransferOrder& aOrder);
  void Settle(Actions& aActions);
  void AnswerConfirmed();
  void FailAll(const absl::Status& aStatus);
  void Publish();
  base::TimePoint Now() const { return base::SteadyClock::Instance().Now(); }

  const GroupOptions m_options;
  StateMachine& m_machine;
  const SendFunction m_send;
  const FatalFunction m_fatal;
  base::EventLog& m_events;

  std::mutex m_lock; // of the next four
  std::condition_variable m_wake;
  std::deque<Work> m_work;
  bool m_stop = false;
  GroupStatus m_status;

  // Used by the group's thread only, once it runs.
  PosixDisk m_disk;
  Store m_store;
  std::unique_ptr<RaftCore> m_raft;
  uint64_t m_applied = 0;
  uint64_t m_sinceSnapshot = 0;            // commands applied
  std::map<uint64_t, Waiting> m_proposals; // by index
  uint64_t m_nextQuestion = 0;
  std::map<uint64_t, ConfirmCallback> m_questions; // by id
  // Confirmed, waiting until the index has been applied.
  std::multimap<uint64_t, ConfirmCallback> m_confirmed;

  std::thread m_thread;
};

absl::Status
Group::Core::Start()
{
  if (auto status = m_disk.Open(); !status.ok()) {
    return status;
  }
  auto state = m_store.Open(base::RandomBits());
  if (!state.ok()) {
    return state.status();
  }
  if (state->m_snapshot) {
    auto status = m_machine.Restore(state->m_snapshot->m_data);
    if (!status.ok()) {
      return status;
    }
    m_applied = state->m_snapshot->m_index;
  }
  CoreOptions options;
  options.m_name = m_options.m_name;
  options.m_identity = state->m_identity;
  options.m_initial = m_options.m_initial;
  options.m_electionTimeout = m_options.m_electionTimeout;
  options.m_heartbeat = m_options.m_heartbeat;
  options.m_seed = base::RandomBits();
  m_raft = std::make_unique<RaftCore>(options, std::move(*state), Now());
  Publish();
  m_thread = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void
Group::Core::Stop()
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
Group::Core::Add(Work aWork)
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
  } else if (auto* question = std::get_if<Question>(&aWork)) {
    question->m_done(NotLeader());
  }
}

std::deque<Work>
Group::Core::Wait()
{
  std::unique_lock guard(m_lock);
  const auto span = m_raft->NextDeadline() - Now();
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
Group::Core::Run()
{
  for (;;) {
    std::deque<Work> work = Wait();
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
    m_raft->Tick(Now());
    if (!Process()) {
      break;
    }
    Publish();
  }
  FailAll(Unavailable("the group has stopped"));
}

void
Group::Core::Handle(Proposal& aProposal)
{
  const auto index = m_raft->Propose(std::move(aProposal.m_command));
  if (!index) {
    aProposal.m_done(NotLeader());
    return;
  }
  m_proposals[*index] = { m_raft->Hard().m_term, std::move(aProposal.m_done) };
}

void
Group::Core::Handle(Question& aQuestion)
{
  const uint64_t id = ++m_nextQuestion;
  m_questions[id] = std::move(aQuestion.m_done);
  m_raft->Confirm(id);
}

void
Group::Core::Handle(Received& aReceived)
{
  auto message = DecodeMessage(aReceived.m_payload);
  if (!message.ok()) {
    base::LogWarning("consensus",
                     "dropped a payload that is no message",
                     { { "from", aReceived.m_from } });
    return;
  }
  m_raft->Receive(aReceived.m_from, *message, Now());
}

void
Group::Core::Handle(TransferOrder&)
{
  m_raft->Transfer(Now());
}

void
Group::Core::SendAll(std::vector<Envelope>& aEnvelopes)
{
  for (const Envelope& envelope : aEnvelopes) {
    m_send(envelope.m_to, EncodeMessage(envelope.m_message));
  }
}

// Does everything that the core asks for; false after a fatal failure.
bool
Group::Core::Process()
{
  for (Actions actions = m_raft->Take(Now()); !actions.Empty();
       actions = m_raft->Take(Now())) {
    SendAll(actions.m_early);
    absl::Status status = Persist(actions);
    if (status.ok()) {
      m_raft->Synced(Now());
      SendAll(actions.m_late);
      Settle(actions);
      status = Apply();
    }
    if (status.ok()) {
      status = TakeSnapshotIfDue();
    }
    if (!status.ok()) {
      base::LogError("consensus",
                     "stopped, because the log can't be kept",
                     { { "error", base::MessageOf(status) } });
      {
        const std::lock_guard guard(m_lock);
        m_stop = true;
        m_status = GroupStatus();
      }
      m_fatal(status);
      return false;
    }
  }
  return true;
}

absl::Status
Group::Core::Persist(Actions& aActions)
{
  if (aActions.m_install) {
    auto status = m_store.Install(*aActions.m_install, m_raft->Hard());
    if (status.ok()) {
      status = m_machine.Restore(aActions.m_install->m_data);
    }
    if (!status.ok()) {
      return status;
    }
    m_applied = aActions.m_install->m_index;
    m_sinceSnapshot = 0;
    m_events.Record("raft-snapshot-installed",
                    { { "index", std::to_string(m_applied) } });
  }
  if (!aActions.m_saveHard && aActions.m_append.empty()) {
    return absl::OkStatus();
  }
  const uint64_t termBefore =
    aActions.m_append.empty()
      ? 0
      : m_raft->Entries().TermAt(aActions.m_append.front().m_index - 1);
  return m_store.Save(m_raft->Hard(), std::move(aActions.m_append), termBefore);
}

void
Group::Core::Settle(Actions& aActions)
{
  if (aActions.m_steppedDown) {
    for (auto& [index, waiting] : std::exchange(m_proposals, {})) {
      waiting.m_done(Unavailable("leadership was lost before the commit"));
    }
    for (auto& [index, done] : std::exchange(m_confirmed, {})) {
      done(NotLeader());
    }
  }
  for (const Confirmation& confirmation : aActions.m_confirmed) {
    const auto found = m_questions.find(confirmation.m_id);
    if (confirmation.m_index) {
      m_confirmed.emplace(*confirmation.m_index, std::move(found->second));
    } else {
      found->second(NotLeader());
    }
    m_questions.erase(found);
  }
}

absl::Status
Group::Core::Apply()
{
  while (m_applied < m_raft->Committed()) {
    const Entry& entry = m_raft->Entries().At(++m_applied);
    if (entry.m_kind != EntryKind::Command) {
      continue;
    }
    std::string result = m_machine.Apply(m_applied, entry.m_data);
    ++m_sinceSnapshot;
    const auto waiting = m_proposals.find(m_applied);
    if (waiting != m_proposals.end()) {
      ProposeCallback done = std::move(waiting->second.m_done);
      const bool own = waiting->second.m_term == entry.m_term;
      m_proposals.erase(waiting);
      if (own) {
        done(std::move(result));
      } else {
        done(NotLeader());
      }
    }
  }
  AnswerConfirmed();
  return absl::OkStatus();
}

void
Group::Core::AnswerConfirmed()
{
  while (!m_confirmed.empty() && m_confirmed.begin()->first <= m_applied) {
    const auto first = m_confirmed.begin();
    ConfirmCallback done = std::move(first->second);
    const uint64_t index = first->first;
    m_confirmed.erase(first);
    done(index);
  }
}

absl::Status
Group::Core::TakeSnapshotIfDue()
{
  if (m_sinceSnapshot < m_options.m_snapshotEvery) {
    return absl::OkStatus();
  }
  m_sinceSnapshot = 0;
  auto snapshot = std::make_shared<const Snapshot>(
    Snapshot{ m_applied,
              m_raft->Entries().TermAt(m_applied),
              m_raft->MembersAt(m_applied),
              m_machine.TakeSnapshot() });
  if (auto status = m_store.SaveSnapshot(*snapshot); !status.ok()) {
    return status;
  }
  m_raft->Compact(std::move(snapshot));
  m_events.Record("raft-snapshot", { { "index", std::to_string(m_applied) } });
  return m_store.DropPrefix(m_raft->Entries().BaseIndex());
}

void
Group::Core::FailAll(const absl::Status& aStatus)
{
  std::deque<Work> work;
  {
    const std::lock_guard guard(m_lock);
    m_stop = true;
    work.swap(m_work);
    m_status.m_role = RaftRole::Follower;
    m_status.m_leader.clear();
  }
  for (auto& [index, waiting] : std::exchange(m_proposals, {})) {
    waiting.m_done(aStatus);
  }
  for (auto& [id, done] : std::exchange(m_questions, {})) {
    done(aStatus);
  }
  for (auto& [index, done] : std::exchange(m_confirmed, {})) {
    done(aStatus);
  }
  for (Work& item : work) {
    if (auto* proposal = std::get_if<Proposal>(&item)) {
      proposal->m_done(aStatus);
    } else if (auto* question = std::get_if<Question>(&item)) {
      question->m_done(aStatus);
    }
  }
}

void
Group::Core::Publish()
{
  GroupStatus status = m_raft->Status(Now());
  status.m_applied = m_applied;
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
  : m_core(std::make_unique<Core>(std::move(aOptions),
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
  return m_core->Start();
}

void
Group::Stop()
{
  m_core->Stop();
}

void
Group::Propose(std::string aCommand, ProposeCallback aDone)
{
  m_core->Add(Proposal{ std::move(aCommand), std::move(aDone) });
}

void
Group::ConfirmLeadership(ConfirmCallback aDone)
{
  m_core->Add(Question{ std::move(aDone) });
}

void
Group::Receive(std::string aFrom, std::string aPayload)
{
  m_core->Add(Received{ std::move(aFrom), std::move(aPayload) });
}

void
Group::TransferLeadership()
{
  m_core->Add(TransferOrder{});
}

GroupStatus
Group::Status() const
{
  const std::lock_guard guard(m_core->m_lock);
  return m_core->m_status;
}

bool
Group::IsLeader() const
{
  const std::lock_guard guard(m_core->m_lock);
  return m_core->m_status.m_role == RaftRole::Leader;
}

} // namespace chivefront::consensus
