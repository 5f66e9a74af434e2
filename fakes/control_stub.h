// An in-process fake of a control process, for tests of agents and entries. It
// answers watch polls with a catalogue that the test sets, and records
// announcements and ledger commands.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/catalog/catalog.h"
#include "chivefront/net/link.h"

namespace fakes {

using namespace chivefront;

class ControlStub
{
public:
  ControlStub(net::asio::io_context& aContext, const net::LinkIdentity& aSelf);

  absl::Status Start();
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }

  // Change one catalogue entry and raise the revision by one.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  // While silent, messages are neither answered nor recorded, as if the
  // network were partitioned.
  void SetSilent(bool aSilent);

  wire::AnnounceRequestT LastAnnounce() const;
  std::vector<wire::LedgerRequestT> LedgerRequests() const;

private:
  void Handle(const net::Link::Pointer& aLink, wire::MessageT aMessage);

  net::LinkServer m_server;
  mutable std::mutex m_lock; // guards all members below
  catalog::Entries m_entries;
  uint64_t m_revision = 1;
  bool m_silent = false;
  wire::AnnounceRequestT m_announce;
  std::vector<wire::LedgerRequestT> m_ledger;
};

} // namespace fakes
