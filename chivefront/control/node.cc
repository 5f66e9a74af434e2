// Assembly of a control process.
#include "chivefront/control/node.h"

#include <filesystem>

#include "chivefront/control/policy_judge.h"
#include "chivefront/control/server.h"

namespace chivefront::control {
namespace detail {

// How long a planned stop waits for another replica to take over.
constexpr base::Millis kTransferTime{ 2000 };
constexpr base::Millis kTransferPoll{ 50 };

} // namespace detail

struct Node::Parts
{
  Parts(net::asio::io_context& aContext,
        const net::LinkIdentity& aIdentity,
        NodeOptions aOptions,
        base::EventLog& aEvents,
        base::Metrics& aMetrics)
    : m_options(std::move(aOptions))
    , m_handlers(MakeHandlers())
    , m_peers(aContext, aIdentity, m_options.m_peers, m_handlers)
    , m_links(aContext, aIdentity, m_handlers)
    , m_config(GroupOf(kConfigGroup, "config", aIdentity.m_process),
               m_store,
               Sender(kConfigGroup),
               m_options.m_onFatal,
               aEvents)
    , m_ledgerGroup(GroupOf(kLedgerGroup, "ledger-1", aIdentity.m_process),
                    m_ledger,
                    Sender(kLedgerGroup),
                    m_options.m_onFatal,
                    aEvents)
    , m_configReplica(m_config)
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

  consensus::GroupOptions GroupOf(uint32_t aGroup,
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

  consensus::Group::SendFunction Sender(uint32_t aGroup)
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
  consensus::Group m_config;
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
  : m_parts(std::make_unique<Parts>(aContext,
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
       { &m_parts->m_config, &m_parts->m_ledgerGroup }) {
    if (absl::Status status = group->Start(); !status.ok()) {
      return status;
    }
  }
  if (absl::Status status =
        m_parts->m_links.Listen(m_parts->m_options.m_listen);
      !status.ok()) {
    return status;
  }
  m_parts->m_peers.Start();
  m_parts->m_server.Start();
  return absl::OkStatus();
}

base::Endpoint
Node::BoundEndpoint() const
{
  return m_parts->m_links.BoundEndpoint();
}

bool
Node::Fresh()
{
  return m_parts->m_server.Fresh();
}

std::string
Node::StatusJson()
{
  return m_parts->m_server.StatusJson();
}

bool
Node::LeadsConfiguration() const
{
  return m_parts->m_config.IsLeader();
}

net::Task<void>
Node::Leave()
{
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint deadline = clock.Now() + detail::kTransferTime;
  const bool alone = m_parts->m_peers.Names().empty();
  while (!alone && clock.Now() < deadline) {
    bool leads = false;
    for (consensus::Group* group :
         { &m_parts->m_config, &m_parts->m_ledgerGroup }) {
      if (group->IsLeader()) {
        leads = true;
        group->TransferLeadership();
      }
    }
    if (!leads) {
      break;
    }
    co_await net::Sleep(detail::kTransferPoll);
  }
  m_parts->m_server.Stop();
  m_parts->m_links.Stop();
  m_parts->m_peers.Stop();
}

void
Node::Stop()
{
  m_parts->m_config.Stop();
  m_parts->m_ledgerGroup.Stop();
}

} // namespace chivefront::control
