// Transfer of documents from control processes to entries, in parts. A document
// may take seconds on an entry's link, so it is not sent in the answer to a
// poll, and an entry that fetches one has a single small part under way.
//
// Control process:
//   reply = source.MakeReply(*store.Current(), request);
// Entry:
//   request = fetch.MakeRequest();
//   absl::StatusOr<bool> isWhole = fetch.Accept(reply, wantedNumber);
//   if (isWhole.ok() && *isWhole) ... fetch.Number(), fetch.Take() ...
//
// Does no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "chivefront/site/store.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Serves parts of the newest document, and of those before it that an entry may
// still be fetching.
class DocumentSource
{
public:
  wire::DocumentReplyT MakeReply(const State& aState,
                                 const wire::DocumentRequestT& aRequest);

private:
  using Packed = std::shared_ptr<const std::string>;

  void Pack(const State& aState);

  std::map<uint64_t, Packed> m_packed; // by number, at most kKeptDocuments
};

// Collects the parts of one document.
class DocumentFetch
{
public:
  wire::DocumentRequestT MakeRequest() const;
  // Adds a part. Returns whether the document is whole, or an error if the part
  // brings the fetch no further: NotFresh if the sender has no document of at
  // least the number aWanted, BadFrame if the part does not fit. The fetch then
  // begins anew.
  absl::StatusOr<bool> Accept(const wire::DocumentReplyT& aReply,
                              uint64_t aWanted);

  // Of the document that is being fetched; 0: none.
  uint64_t Number() const { return m_number; }
  size_t PackedBytes() const { return m_packed.size(); }
  // The text of a whole document; ends the fetch. Returns Corrupt if it can't
  // be read.
  absl::StatusOr<std::string> Take();

private:
  void Restart();

  uint64_t m_number = 0;
  uint64_t m_packedSize = 0;
  std::string m_packed; // the first bytes of the packed document
};

} // namespace chivefront::site
