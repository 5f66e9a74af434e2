// Tests of documents that are sent in parts.
// Promises: config
#define BOOST_TEST_MODULE document_parts
#include <boost/test/unit_test.hpp>

#include <limits>

#include "chivefront/base/errors.h"
#include "chivefront/site/document_parts.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

// A document of several parts, and different for each number.
std::string
MakeDocument(uint64_t aNumber)
{
  std::string text;
  uint64_t word = aNumber;
  while (text.size() < 400000) {
    word = word * 6364136223846793005U + 1442695040888963407U;
    text += std::to_string(word);
  }
  return text;
}

State
MakeState(uint64_t aNumber)
{
  State state;
  state.m_number = aNumber;
  state.m_document = std::make_shared<const std::string>(MakeDocument(aNumber));
  return state;
}

// Fetches from aSource until the document is whole or a part is refused.
absl::StatusOr<std::string>
FetchAll(DocumentFetch& aFetch,
         DocumentSource& aSource,
         const State& aState,
         uint64_t aWanted)
{
  while (true) {
    const auto reply = aSource.MakeReply(aState, aFetch.MakeRequest());
    const auto isWhole = aFetch.Accept(reply, aWanted);
    if (!isWhole.ok()) {
      return isWhole.status();
    }
    if (*isWhole) {
      return aFetch.Take();
    }
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(DocumentComesInParts)
{
  DocumentSource source;
  DocumentFetch fetch;
  const State state = MakeState(7);
  const auto first = source.MakeReply(state, fetch.MakeRequest());
  BOOST_TEST(first.data.size() < first.packed_size / 3);
  const auto text = FetchAll(fetch, source, state, 7);
  BOOST_REQUIRE(text.ok());
  BOOST_TEST((*text == MakeDocument(7)));
  BOOST_TEST(fetch.Number() == 0U);
}

// Guards against an entry that takes an older document than a control process
// has vouched for, from another one that lags behind.
BOOST_AUTO_TEST_CASE(OlderDocumentIsRefused)
{
  DocumentSource source;
  DocumentFetch fetch;
  for (const State& state : { MakeState(6), State() }) {
    const auto text = FetchAll(fetch, source, state, 7);
    BOOST_TEST((base::KindOf(text.status()) == base::ErrorKind::NotFresh));
  }
  BOOST_TEST(FetchAll(fetch, source, MakeState(9), 7).ok());
}

// Guards against a document that is put together from parts of two, and against
// a fetch that never ends because newer documents follow each other.
BOOST_AUTO_TEST_CASE(NewerDocumentsDoNotMixIn)
{
  DocumentSource source;
  DocumentFetch fetch;
  const auto part = source.MakeReply(MakeState(7), fetch.MakeRequest());
  BOOST_REQUIRE(fetch.Accept(part, 7).ok());
  // The same source still holds number 7.
  const auto old = FetchAll(fetch, source, MakeState(8), 7);
  BOOST_REQUIRE(old.ok());
  BOOST_TEST((*old == MakeDocument(7)));
  // Another source holds only number 9.
  BOOST_REQUIRE(fetch.Accept(part, 7).ok());
  DocumentSource other;
  const auto text = FetchAll(fetch, other, MakeState(9), 7);
  BOOST_REQUIRE(text.ok());
  BOOST_TEST((*text == MakeDocument(9)));
}

// Guards against a part that comes twice or is damaged and spoils a document.
BOOST_AUTO_TEST_CASE(PartsThatDoNotFitBeginAnew)
{
  DocumentSource source;
  DocumentFetch fetch;
  const State state = MakeState(7);
  const auto part = source.MakeReply(state, fetch.MakeRequest());
  for (int damage = 0; damage < 4; ++damage) {
    BOOST_REQUIRE(fetch.Accept(part, 7).ok());
    auto next = source.MakeReply(state, fetch.MakeRequest());
    switch (damage) {
      case 0:
        next = part;
        break;
      case 1:
        next.data.clear();
        break;
      case 2:
        next.packed_size = 10;
        break;
      default:
        next.data.resize(next.packed_size);
    }
    const auto isWhole = fetch.Accept(next, 7);
    BOOST_TEST((base::KindOf(isWhole.status()) == base::ErrorKind::BadFrame),
               "damage " << damage);
    BOOST_TEST(fetch.Number() == 0U);
  }
  const auto text = FetchAll(fetch, source, state, 7);
  BOOST_REQUIRE(text.ok());
  BOOST_TEST((*text == MakeDocument(7)));
}

// Guards against a sender that makes an entry collect parts without end.
BOOST_AUTO_TEST_CASE(DocumentsWithoutEndAreRefused)
{
  DocumentSource source;
  DocumentFetch fetch;
  auto part = source.MakeReply(MakeState(7), fetch.MakeRequest());
  part.packed_size = std::numeric_limits<uint64_t>::max();
  const auto isWhole = fetch.Accept(part, 7);
  BOOST_TEST((base::KindOf(isWhole.status()) == base::ErrorKind::BadFrame));
}
