// Packing of documents and assembly of their parts.
#include "chivefront/site/document_parts.h"

#include <algorithm>
#include <utility>

#include "chivefront/base/deflate.h"
#include "chivefront/base/errors.h"

namespace chivefront::site {
namespace detail {

// Takes 26 ms on a link of 10 Mbit/s, so that polls on it are hardly delayed.
constexpr size_t kPartBytes = 32 * 1024;
// An entry finishes a document although newer ones have come meanwhile: changes
// may follow each other faster than one is sent.
constexpr size_t kKeptDocuments = 8;
// Larger than any configuration that the operator's API accepts.
constexpr size_t kMaxDocumentBytes = 64 * 1024 * 1024;

} // namespace detail

void
DocumentSource::Pack(const State& aState)
{
  if (!aState.m_document || m_packed.count(aState.m_number) > 0) {
    return;
  }
  m_packed[aState.m_number] =
    std::make_shared<const std::string>(base::Deflate(*aState.m_document));
  if (m_packed.size() > detail::kKeptDocuments) {
    m_packed.erase(m_packed.begin());
  }
}

wire::DocumentReplyT
DocumentSource::MakeReply(const State& aState,
                          const wire::DocumentRequestT& aRequest)
{
  Pack(aState);
  wire::DocumentReplyT reply;
  const auto asked = m_packed.find(aRequest.number);
  const auto newest = m_packed.find(aState.m_number);
  const auto found = asked != m_packed.end() ? asked : newest;
  if (found == m_packed.end()) {
    return reply;
  }
  const std::string& packed = *found->second;
  reply.number = found->first;
  reply.packed_size = packed.size();
  reply.offset = found == asked ? aRequest.offset : 0;
  reply.offset = std::min<uint64_t>(reply.offset, packed.size());
  const size_t bytes = std::min(
    detail::kPartBytes, packed.size() - static_cast<size_t>(reply.offset));
  const auto begin = packed.begin() + static_cast<ptrdiff_t>(reply.offset);
  reply.data.assign(begin, begin + static_cast<ptrdiff_t>(bytes));
  return reply;
}

wire::DocumentRequestT
DocumentFetch::MakeRequest() const
{
  wire::DocumentRequestT request;
  request.number = m_number;
  request.offset = m_packed.size();
  return request;
}

void
DocumentFetch::Restart()
{
  m_number = 0;
  m_packedSize = 0;
  m_packed.clear();
}

absl::StatusOr<bool>
DocumentFetch::Accept(const wire::DocumentReplyT& aReply, uint64_t aWanted)
{
  const bool isContinued = m_number != 0 && aReply.number == m_number;
  if (!isContinued) {
    Restart();
    if (aReply.number == 0 || aReply.number < aWanted) {
      return base::MakeError(base::ErrorKind::NotFresh,
                             "the sender has no document of this number");
    }
    if (aReply.packed_size > detail::kMaxDocumentBytes) {
      return base::MakeError(base::ErrorKind::BadFrame,
                             "the document exceeds the bound");
    }
    m_number = aReply.number;
    m_packedSize = aReply.packed_size;
  }
  if (aReply.offset != m_packed.size() || aReply.data.empty() ||
      aReply.packed_size != m_packedSize ||
      aReply.data.size() > m_packedSize - m_packed.size()) {
    Restart();
    return base::MakeError(base::ErrorKind::BadFrame,
                           "the part does not continue the document");
  }
  m_packed.append(aReply.data.begin(), aReply.data.end());
  return m_packed.size() == m_packedSize;
}

absl::StatusOr<std::string>
DocumentFetch::Take()
{
  const std::string packed = std::exchange(m_packed, {});
  Restart();
  return base::Inflate(packed, detail::kMaxDocumentBytes);
}

} // namespace chivefront::site
