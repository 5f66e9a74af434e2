// Tests of compression.
#define BOOST_TEST_MODULE deflate
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/base/deflate.h"
#include "chivefront/base/errors.h"

using namespace chivefront::base;

namespace {

constexpr size_t kMaxBytes = 1024 * 1024;

} // namespace

BOOST_AUTO_TEST_CASE(TextsComeBack)
{
  std::mt19937_64 random(1);
  for (const size_t size : { 0, 1, 1000, 65535, 65536, 300000 }) {
    std::string noise(size, '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random());
    }
    for (const std::string& text : { noise, std::string(size, 'a') }) {
      const auto back = Inflate(Deflate(text), kMaxBytes);
      BOOST_REQUIRE_MESSAGE(back.ok(),
                            "size " << size << ": " << back.status());
      BOOST_TEST((*back == text), "size " << size);
    }
  }
  BOOST_TEST(Deflate(std::string(300000, 'a')).size() < 3000U);
}

// Guards against bytes of a peer that expand without bound, and against a text
// that is cut off or followed by something else and looks whole.
BOOST_AUTO_TEST_CASE(DamagedTextsAreRefused)
{
  const std::string packed = Deflate(std::string(300000, 'a') + "end");
  BOOST_TEST(
    (KindOf(Inflate(packed, 1000).status()) == ErrorKind::BodyTooLarge));
  for (const std::string& damaged :
       { std::string(), packed.substr(0, packed.size() - 1), packed + "x" }) {
    BOOST_TEST(
      (KindOf(Inflate(damaged, kMaxBytes).status()) == ErrorKind::Corrupt));
  }
}
