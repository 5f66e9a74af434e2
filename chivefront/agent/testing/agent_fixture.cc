// Implements the fixture and the entry's end of its link.
#include "chivefront/agent/testing/agent_fixture.h"

#include "chivefront/base/ids.h"

namespace chivefront::agent::testing {
namespace {

constexpr int kThreads = 3;
constexpr std::chrono::seconds kWaitTimeout{ 20 };

net::LinkIdentity
Identity(const std::string& aProcess, wire::Role aRole)
{
  net::LinkIdentity identity;
  identity.m_role = aRole;
  identity.m_cluster = "test";
  identity.m_process = aProcess;
  identity.m_failureDomain = "domain-a";
  identity.m_incarnation = base::RandomBits();
  identity.m_secret = "test-secret";
  return identity;
}

void
FillCatalog(fakes::ControlStub& aControl)
{
  const std::string head = R"({"owner":"ops","class":"free",)";
  const std::string limits = R"("limits":{"requests_per_second":100,)"
                             R"("concurrency":50,"tokens_per_minute":100000}})";
  aControl.Put("team/sales",
               R"({"owner":"ops","class":"paying","key_hashes":[],)"
               R"("models":["small"],"services":["booking"],)" +
                 limits);
  aControl.Put("team/guest",
               head + R"("key_hashes":[],"models":["small"],)" + limits);
  aControl.Put("team/other", head + R"("key_hashes":[],"models":[],)" + limits);
  aControl.Put("model/small",
               head + R"("version":"small-1","limits":{"concurrency":64}})");
  for (const char* version : { "small-1", "small-2" }) {
    aControl.Put(std::string("version/") + version,
                 head +
                   R"("model":"small","prompt_cost":1000,)"
                   R"("answer_cost":2000,"limits":{"answer_tokens":9999}})");
  }
  aControl.Put("service/booking",
               head + R"("idempotent_methods":["GET"],)"
                      R"("limits":{"concurrency":8}})");
}

} // namespace

AgentFixture::AgentFixture()
  : m_workGuard(net::asio::make_work_guard(m_context))
  , m_agentIdentity(Identity("agent-1", wire::Role::Agent))
  , m_entryIdentity(Identity("entry-1", wire::Role::Entry))
  , m_controlIdentity(Identity("control-1", wire::Role::Control))
{
  m_control =
    std::make_unique<fakes::ControlStub>(m_context, m_controlIdentity);
  FillCatalog(*m_control);
  (void)m_control->Start();
  m_agent = std::make_unique<Agent>(
    m_context,
    m_agentIdentity,
    m_events,
    m_metrics,
    std::vector<base::Endpoint>{ m_control->BoundEndpoint() });
  (void)m_agent->Listen({ "127.0.0.1", 0 }, { "127.0.0.1", 0 });
  m_agent->Start();
  net::Link::Handlers handlers;
  handlers.m_onOpen = [](const net::Link::Pointer&) {};
  handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
  handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                wire::MessageT aMessage) {
    OnMessage(aLink, std::move(aMessage));
  };
  m_connector = std::make_shared<net::LinkConnector>(
    m_context, m_entryIdentity, m_agent->LinkEndpoint(), handlers);
  m_connector->Start();
  for (int i = 0; i < kThreads; ++i) {
    m_threads.emplace_back([this] { m_context.run(); });
  }
}

AgentFixture::~AgentFixture()
{
  m_context.stop();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

wire::DispatchT
AgentFixture::ChatDispatch(const std::string& aId,
                           const std::string& aUpstream,
                           uint32_t aTokens,
                           const std::string& aPrompt)
{
  wire::DispatchT dispatch;
  dispatch.request_id = aId;
  dispatch.team = "sales";
  dispatch.caller_class = wire::CallerClass::Paying;
  dispatch.upstream = aUpstream;
  dispatch.model = "small";
  dispatch.version = "small-1";
  dispatch.fingerprint = base::StableHash(aId);
  dispatch.deadline_ms = 30000;
  dispatch.stream = true;
  dispatch.credit_bytes = kDefaultWindowBytes;
  dispatch.content_type = "application/json";
  dispatch.body = R"({"stream":true,"max_tokens":)" + std::to_string(aTokens) +
                  R"(,"messages":[{"role":"user","content":")" + aPrompt +
                  R"("}]})";
  return dispatch;
}

wire::DispatchT
AgentFixture::BookingDispatch(const std::string& aId,
                              const std::string& aUpstream)
{
  wire::DispatchT dispatch = ChatDispatch(aId, aUpstream);
  dispatch.model.clear();
  dispatch.version.clear();
  dispatch.service = "booking";
  dispatch.claim_key = "key-" + aId;
  dispatch.stream = false;
  dispatch.method = "POST";
  dispatch.target = "/orders";
  dispatch.body = R"({"hinges":4})";
  return dispatch;
}

net::Link::Pointer
AgentFixture::Link()
{
  net::Link::Pointer link;
  Eventually([&] {
    link = m_connector->Current();
    return link != nullptr && link->IsOpen();
  });
  return link;
}

void
AgentFixture::CloseLink()
{
  const net::Link::Pointer link = Link();
  link->Close(absl::OkStatus());
  Eventually([&] { return m_connector->Current() != link; });
}

void
AgentFixture::OnMessage(const net::Link::Pointer& aLink,
                        wire::MessageT aMessage)
{
  const std::lock_guard lock(m_lock);
  if (const auto* started = aMessage.body.AsStarted()) {
    m_received[started->request_id].m_started = true;
  } else if (auto* rejected = aMessage.body.AsRejected()) {
    m_received[rejected->request_id].m_rejected = std::move(*rejected);
  } else if (const auto* chunk = aMessage.body.AsChunk()) {
    ReceivedAnswer& received = m_received[chunk->request_id];
    received.m_outOfOrder =
      received.m_outOfOrder || chunk->sequence != received.m_chunks;
    ++received.m_chunks;
    received.m_bytes += chunk->data;
    if (m_autoCredit) {
      wire::CreditT credit;
      credit.request_id = chunk->request_id;
      credit.attempt = chunk->attempt;
      credit.bytes = static_cast<uint32_t>(chunk->data.size());
      (void)aLink->Send(wire::MakeMessage(std::move(credit)));
    }
  } else if (auto* end = aMessage.body.AsEnd()) {
    if (m_autoSettle) {
      wire::SettledT settled;
      settled.request_id = end->request_id;
      (void)aLink->Send(wire::MakeMessage(std::move(settled)));
    }
    m_received[end->request_id].m_end = std::move(*end);
  }
  m_changed.notify_all();
}

ReceivedAnswer
AgentFixture::WaitFor(const std::string& aId,
                      const std::function<bool(const ReceivedAnswer&)>& aDone)
{
  std::unique_lock lock(m_lock);
  m_changed.wait_for(
    lock, kWaitTimeout, [&] { return aDone(m_received[aId]); });
  return m_received[aId];
}

ReceivedAnswer
AgentFixture::WaitEnd(const std::string& aId)
{
  return WaitFor(aId, [](const ReceivedAnswer& aReceived) {
    return aReceived.m_end.has_value() || aReceived.m_rejected.has_value();
  });
}

bool
AgentFixture::Eventually(const std::function<bool()>& aDone)
{
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!aDone()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

void
AgentFixture::WaitAnnounced(const std::string& aUpstream)
{
  Eventually([&] {
    return m_agent->Ready() && !m_agent->UpstreamInfoOf(aUpstream).removed;
  });
}

std::string
AgentFixture::Http(const base::Endpoint& aEndpoint,
                   const std::string& aMethod,
                   const std::string& aTarget,
                   const std::string& aBody)
{
  using Result = absl::StatusOr<net::HttpResponse>;
  const Result result = Await<Result>([&]() -> net::Task<Result> {
    net::HttpRequest request(aMethod, aTarget);
    request.m_body = aBody;
    return net::HttpCall(aEndpoint, std::move(request), {});
  });
  return result.ok() ? result->m_body : std::string();
}

} // namespace chivefront::agent::testing
