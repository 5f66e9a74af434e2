// Assembles a control process from its parts.
#include "chivefront/control/node.h"

#include <filesystem>

#include "chivefront/control/policy_judge.h"
#include "chivefront/control/server.h"

namespace chivefront::control {
namespace detail {

// How long a planned stop waits for another replica to take over.
constexpr base::Millis kTransferTimeout{ 2000 };
constexpr base::Millis kTransferPollInterval{ 50 };

} // namespace detail

struct Node::Impl
{
  Impl(net::asio::io_context& aContext,
       const net::LinkIdentity& aIdentity,
       NodeOptions aOptions,
       base::EventLog& aEvents,
       base::Metrics& aMetrics)
    : m_options(std::move(aOptions))
    , m_handlers(MakeHandlers())
    , m_peers(aContext, aIdentity, m_options.m_peers, m_handlers)
    , m_links(aContext, aIdentity, m_handlers)
    , m_configGroup(
        GroupOptionsFor(kConfigGroup, "config", aIdentity.m_process),
        m_store,
        MakeSendFunction(kConfigGroup),
        m_options.m_onFatal,
        aEvents)
    , m_ledgerGroup(
        GroupOptionsFor(kLedgerGroup, "ledger-1", aIdentity.m_process),
        m_ledger,
        MakeSendFunction(kLedgerGroup),
        m_options.m_onFatal,
        aEvents)
    , m_configReplica(m_configGroup)
    , m_ledgerReplica(m_ledgerGroup)
    , m_server(
        aContext,
        { m_store,
          m_configReplica,
          m_ledger,
          m_ledgerReplica,
          m_judge,
          base::SteadyClock::Instance(),
          aEvents,
          aMetrics },
        { aIdentity.m_process,
          m_peers.Names(),
          [this](const std::string& aName) { return m_peers.LinkTo(aName); } })
  {
  }

  net::Link::Handlers MakeHandlers()
  {
    net::Link::Handlers handlers;
    handlers.m_onOpen = [](const net::Link::Pointer&) {};
    handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                  wire::MessageT aMessage) {
      m_server.Handle(aLink, std::move(aMessage));
    };
    handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
    return handlers;
  }

  consensus::GroupOptions GroupOptionsFor(uint32_t aGroup,
                                          const char* aFolder,
                                          const std::string& aName) const
  {
    consensus::GroupOptions options;
    options.m_group = aGroup;
    options.m_name = aName;
    options.m_initialMembers = m_peers.Names();
    options.m_initialMembers.push_back(aName);
    options.m_folder =
      (std::filesystem::path(m_options.m_folder) / aFolder).string();
    options.m_snapshotEvery = m_options.m_snapshotEvery;
    return options;
  }

  consensus::Group::SendFunction MakeSendFunction(uint32_t aGroup)
  {
    return [this, aGroup](const std::string& aTo, std::string aPayload) {
      m_peers.SendEnvelope(aGroup, aTo, aPayload);
    };
  }

  const NodeOptions m_options;
  const net::Link::Handlers m_handlers;
  Peers m_peers;
  net::LinkServer m_links;
  ConfigStore m_store;
  ledger::Ledger m_ledger;
  consensus::Group m_configGroup;
  consensus::Group m_ledgerGroup;
  GroupReplica m_configReplica;
  GroupReplica m_ledgerReplica;
  PolicyJudge m_judge;
  Server m_server;
};

Node::Node(net::asio::io_context& aContext,
           const net::LinkIdentity& aIdentity,
           NodeOptions aOptions,
           base::EventLog& aEvents,
           base::Metrics& aMetrics)
  : m_impl(std::make_unique<Impl>(aContext,
                                  aIdentity,
                                  std::move(aOptions),
                                  aEvents,
                                  aMetrics))
{
}

Node::~Node()
{
  Stop();
}

absl::Status
Node::Start()
{
  for (consensus::Group* group :
       { &m_impl->m_configGroup, &m_impl->m_ledgerGroup }) {
    if (absl::Status status = group->Start(); !status.ok()) {
      return status;
    }
  }
  if (absl::Status status = m_impl->m_links.Listen(m_impl->m_options.m_listen);
      !status.ok()) {
    return status;
  }
  m_impl->m_peers.Start();
  m_impl->m_server.Start();
  return absl::OkStatus();
}

base::Endpoint
Node::BoundEndpoint() const
{
  return m_impl->m_links.BoundEndpoint();
}

bool
Node::IsFresh()
{
  return m_impl->m_server.IsFresh();
}

std::string
Node::StatusJson()
{
  return m_impl->m_server.StatusJson();
}

bool
Node::LeadsConfiguration() const
{
  return m_impl->m_configGroup.IsLeader();
}

net::Task<void>
Node::TransferAndCloseLinks()
{
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint deadline = clock.Now() + detail::kTransferTimeout;
  const bool alone = m_impl->m_peers.Names().empty();
  while (!alone && clock.Now() < deadline) {
    bool leads = false;
    for (consensus::Group* group :
         { &m_impl->m_configGroup, &m_impl->m_ledgerGroup }) {
      if (group->IsLeader()) {
        leads = true;
        group->TransferLeadership();
      }
    }
    if (!leads) {
      break;
    }
    co_await net::Sleep(detail::kTransferPollInterval);
  }
  m_impl->m_server.Stop();
  m_impl->m_links.Stop();
  m_impl->m_peers.Stop();
}

void
Node::Stop()
{
  m_impl->m_configGroup.Stop();
  m_impl->m_ledgerGroup.Stop();
}

} // namespace chivefront::control
