// Blocking calls of the command line to the control processes.
//
//   auto client = ctl::ControlClient::Open(options);
//   if (client.ok()) {
//     auto configuration = (*client)->FetchConfiguration();
//     auto reply = (*client)->Submit(change); // repeated until answered
//   }
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
  std::string m_control; // addresses of control processes: IP:PORT,IP:PORT,...
  std::string m_cluster = "chivefront";
  std::string m_secret;            // at least 8 bytes
  base::Millis m_timeout{ 10000 }; // of each call
};

struct Configuration
{
  uint64_t m_revision = 0;
  catalog::Entries m_entries;
};

// The links to the control processes run on a thread of their own.
class ControlClient
{
public:
  // Doesn't wait for a connection. BadRequest when an option is missing or
  // malformed.
  static absl::StatusOr<std::unique_ptr<ControlClient>> Open(
    const ControlClientOptions& aOptions);
  ~ControlClient();

  // Returns the configuration that a majority confirmed during this call, so
  // that it includes every change that was accepted before the call.
  absl::StatusOr<Configuration> FetchConfiguration();

  // Sends the change and returns its first outcome, also across changes of the
  // leader. Repeats the request when a reply is lost. Unavailable when no
  // outcome came in time; the change may have been accepted then, and can be
  // sent again with the same change id.
  absl::StatusOr<wire::ChangeReplyT> Submit(wire::ChangeRequestT aChange);

  // Waits until no process starts work under a revision below aRevision.
  // Unavailable when that isn't confirmed in time.
  absl::Status WaitInForce(uint64_t aRevision);

  // Returns the status of one control process as JSON text. A process whose
  // view is fresh is preferred.
  absl::StatusOr<std::string> FetchStatusJson();

  // Runs a command of the ledger and returns its successful reply.
  absl::StatusOr<wire::LedgerReplyT> CallLedger(wire::LedgerRequestT aRequest);

private:
  explicit ControlClient(const ControlClientOptions& aOptions,
                         std::vector<base::Endpoint> aControl);

  // Repeats the request until aAccept takes a reply or aTimeout is over.
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
