// The upstreams as one entry knows them: idle connections to each, what it
// believes of each, and who may get a request now.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivefront/proxy/upstream_connection.h"
#include "chivefront/routing/choice.h"
#include "chivefront/routing/rollout_share.h"
#include "chivefront/routing/upstream_estimate.h"
#include "chivefront/site/watch.h"

namespace chivefront::proxy {

// Shared by the requests that run at one upstream. m_estimate outlives the
// upstream's registration as long as a request holds it.
struct Upstream
{
  routing::Instance m_instance; // as registered last
  routing::UpstreamEstimate m_estimate;
  std::vector<std::unique_ptr<UpstreamConnection>> m_idle;
};

using UpstreamPointer = std::shared_ptr<Upstream>;

struct UpstreamNeed
{
  const routing::Service* m_service = nullptr;
  routing::ChoiceCriteria m_choice;
  routing::RolloutKey m_rolloutKey; // for roll-outs
  std::vector<std::string> m_tried; // ids to avoid
};

// Why no upstream was found.
enum class NoUpstream
{
  None,   // of the service is known and in use
  Closed, // all are paused after failures or full
  Cold,   // all that are left are cold and have had their share
};

inline constexpr base::NameTable<NoUpstream, 3> kNoUpstreamNames{ {
  { { NoUpstream::None, "no_upstream" },
    { NoUpstream::Closed, "upstreams_closed" },
    { NoUpstream::Cold, "upstreams_cold" } },
} };

class Upstreams
{
public:
  Upstreams(const site::Watch& aWatch, const base::Clock& aClock);

  // The upstream for a request, whose share of a cold one is taken; null and
  // the reason in aWhy when there is none now.
  UpstreamPointer Choose(const UpstreamNeed& aNeed, NoUpstream& aWhy);

  // Whether Choose would find one now.
  bool AnyOpen(const UpstreamNeed& aNeed);

  // An idle connection that is still sound, or null.
  std::unique_ptr<UpstreamConnection> TakeIdle(Upstream& aUpstream);
  // Keeps a connection whose last answer was read to its end.
  void GiveBack(Upstream& aUpstream,
                std::unique_ptr<UpstreamConnection> aConnection);

  // The address belongs to somebody else now.
  void Forget(const std::string& aId);

  // Closes connections that were idle for long and drops upstreams that are
  // gone.
  void Sweep();

private:
  bool IsOpen(const routing::Instance& aInstance,
              const UpstreamNeed& aNeed) const;
  bool VersionFits(const routing::Instance& aInstance,
                   const UpstreamNeed& aNeed) const;
  UpstreamPointer Track(const routing::Instance& aInstance);
  std::vector<UpstreamPointer> OpenFor(const UpstreamNeed& aNeed,
                                       NoUpstream& aWhy);
  double ColdShare(const routing::Service& aService) const;

  const site::Watch& m_watch;
  const base::Clock& m_clock;
  std::unordered_map<std::string, UpstreamPointer> m_upstreams; // by id
  std::unordered_map<std::string, uint64_t> m_forgotten;        // born, by id
};

} // namespace chivefront::proxy
