// An entry's view of the deployment, kept up to date by polling control
// processes, the leader if it is known.
//
//   site::Watch watch(context, identity, seeds, clock, log, decoder);
//   watch.Start();
//   if (!watch.View().m_config) ... nothing is known yet ...
//
// The view outlives its source: an entry that reaches no control process works
// on with the last one. Numbers and revisions in it never fall. Use it on the
// context's single thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chivefront/base/decision_log.h"
#include "chivefront/net/link.h"
#include "chivefront/routing/config.h"
#include "chivefront/routing/registry.h"
#include "chivefront/site/store.h"

namespace chivefront::site {

struct WatchView
{
  routing::ConfigPointer m_config; // null until the first answer
  uint64_t m_number = 0;           // of the configuration
  uint64_t m_revision = 0;
  std::set<std::string> m_domainsOut;
  std::map<std::string, Rollout> m_rollouts; // by service
  routing::Registry m_registry;
  uint32_t m_liveEntries = 1;         // that share the bounds of all entries
  base::TimePoint m_leaderAnsweredAt; // last answer of a leader
  base::TimePoint m_configuredAt;     // first configuration of this process
};

class Watch
{
public:
  // Rows of evidence for each poll, as totals since the process's start.
  using EvidenceSource = std::function<std::vector<wire::VersionEvidenceT>()>;

  Watch(net::asio::io_context& aContext,
        const net::LinkIdentity& aIdentity,
        const std::vector<std::string>& aSeeds,
        const base::Clock& aClock,
        base::DecisionLog& aLog,
        routing::DocumentDecoder aDecoder);

  void SetEvidenceSource(EvidenceSource aSource);
  // Further control processes to ask, after a reload of the settings.
  void AddSeeds(const std::vector<std::string>& aNames);
  void Start();
  void Stop();

  const WatchView& View() const { return m_view; }

  // Takes in an answer. Public for tests.
  void Accept(const wire::WatchReplyT& aReply);

private:
  net::Task<bool> Poll();
  wire::WatchRequestT MakeRequest();
  net::Link::Pointer Choose();
  void AcceptState(const wire::WatchReplyT& aReply, base::TimePoint aNow);
  void AcceptInstances(const wire::WatchReplyT& aReply, base::TimePoint aNow);
  void AcceptMembers(const wire::WatchReplyT& aReply);
  void Connect(const std::string& aName);

  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  const base::Clock& m_clock;
  base::DecisionLog& m_log;
  const routing::DocumentDecoder m_decoder;
  const std::string m_holder;
  EvidenceSource m_evidence;
  WatchView m_view;
  std::map<std::string, std::shared_ptr<net::LinkConnector>> m_control;
  std::string m_leader; // as told last; empty: ask around
  size_t m_turn = 0;    // of asking around
  uint64_t m_registryEpoch = 0;
  uint64_t m_registrySequence = 0;
  bool m_connected = false; // as logged last
  bool m_stopped = false;
};

} // namespace chivefront::site
