// Blocking calls of the command line to the control processes.
//
//   ctl::ControlClient session(options);
//   auto view = session.Fetch();             // the current configuration
//   auto reply = session.Submit(change);     // repeated until answered
#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/status/statusor.h>

#include "chivefront/catalog/catalog.h"
#include "chivefront/client/control_links.h"

namespace chivefront::ctl {

struct ControlClientOptions
{
  std::string m_control; // IP:PORT,IP:PORT,...
  std::string m_cluster = "chivefront";
  std::string m_secret;
  base::Millis m_timeout{ 10000 };
};

struct Configuration
{
  uint64_t m_revision = 0;
  catalog::Entries m_entries;
};

class ControlClient
{
public:
  // BadRequest when an option is missing or malformed.
  static absl::StatusOr<std::unique_ptr<ControlClient>> Open(
    const ControlClientOptions& aOptions);
  ~ControlClient();

  // The configuration as confirmed by a majority during this call, so a
  // change that was accepted before is in it.
  absl::StatusOr<Configuration> Fetch();

  // The first outcome of the change, whoever leads. Repeats the request after
  // lost replies; Unavailable when no outcome came in time: run it again with
  // the same change id.
  absl::StatusOr<wire::ChangeReplyT> Submit(wire::ChangeRequestT aChange);

  // Waits until no process starts work under a revision below aRevision.
  absl::Status WaitInForce(uint64_t aRevision);

  // JSON text of a control process that has a fresh view, if there is one.
  absl::StatusOr<std::string> Status();

  absl::StatusOr<wire::LedgerReplyT> Ledger(wire::LedgerRequestT aRequest);

private:
  explicit ControlClient(const ControlClientOptions& aOptions,
                         std::vector<base::Endpoint> aControl);

  absl::StatusOr<wire::MessageT> Call(
    wire::MessageT aMessage,
    base::Millis aTimeout,
    client::ControlLinks::ReplyPredicate aAccept);

  const ControlClientOptions m_options;
  net::LinkIdentity m_identity;
  net::asio::io_context m_context;
  client::ControlLinks m_control;
  std::thread m_thread;
};

} // namespace chivefront::ctl
