// What an entry holds of the bodies on all its connections together.
#define BOOST_TEST_MODULE held_bytes
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "chivefront/net/testing/resident_memory.h"
#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy;
using namespace chivefront::proxy::testing;

namespace {

constexpr int kCallers = 60;
constexpr size_t kBodyBytes = 3 * 1024 * 1024;
constexpr size_t kSentBytes = 2 * 1024 * 1024; // of each body; then it stalls
constexpr size_t kAnswerBytes = 900 * 1024;
// A node of the smallest deployment has 88 MB.
constexpr int64_t kMaxHeldBytes = 48 * 1024 * 1024;

int64_t
HeldSince(size_t aBefore)
{
  return static_cast<int64_t>(net::testing::ResidentBytes()) -
         static_cast<int64_t>(aBefore);
}

// A caller that sends bytes that all callers share. It reads its answer only
// when asked to, into a small socket buffer.
class SlowCaller
{
public:
  SlowCaller(net::asio::io_context& aContext,
             uint16_t aPort,
             std::shared_ptr<const std::string> aBytes)
    : m_socket(std::make_shared<Tcp::socket>(aContext))
  {
    constexpr int kReceiveBufferBytes = 4096;
    m_socket->open(Tcp::v4());
    m_socket->set_option(
      net::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    m_socket->connect({ net::asio::ip::make_address("127.0.0.1"), aPort });
    net::Spawn(
      aContext.get_executor(),
      "caller",
      [socket = m_socket, bytes = std::move(aBytes)]() -> net::Task<void> {
        error_code error;
        (void)co_await net::asio::async_write(
          *socket,
          net::asio::buffer(*bytes),
          net::asio::redirect_error(net::asio::use_awaitable, error));
      });
  }
  ~SlowCaller()
  {
    error_code ignored;
    m_socket->close(ignored);
  }

  // What has arrived so far.
  std::string Read()
  {
    std::array<char, 1024> buffer{};
    error_code error;
    m_socket->non_blocking(true, error);
    const size_t received =
      m_socket->read_some(net::asio::buffer(buffer), error);
    return std::string(buffer.data(), received);
  }

private:
  std::shared_ptr<Tcp::socket> m_socket;
};

std::vector<std::unique_ptr<SlowCaller>>
StartCallers(EntryFixture& aEntry, std::string aBytes)
{
  const auto bytes = std::make_shared<const std::string>(std::move(aBytes));
  std::vector<std::unique_ptr<SlowCaller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(
      std::make_unique<SlowCaller>(aEntry.m_context, aEntry.m_port, bytes));
    aEntry.RunFor(10);
  }
  aEntry.RunFor(300);
  return callers;
}

} // namespace

// Guards against an entry that runs out of memory because many callers send
// large bodies slowly. Small requests go on; a body that does not fit is
// refused as not run.
BOOST_FIXTURE_TEST_CASE(SlowLargeBodiesAreBoundedTogether, RunningEntry)
{
  m_near.AddScript(kGoodResponse);
  const std::string start =
    "POST /plain/x HTTP/1.1\r\nHost: desk.example\r\nId: r9\r\n"
    "Content-Length: " +
    std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kSentBytes, 'x');
  const size_t before = net::testing::ResidentBytes();
  const auto callers = StartCallers(*this, start);
  BOOST_TEST(HeldSince(before) < kMaxHeldBytes);
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  int refused = 0;
  for (const auto& caller : callers) {
    refused += Contains(caller->Read(), "HTTP/1.1 503 ") ? 1 : 0;
  }
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused < kCallers);
}

// Guards against the same by callers that do not read their answers: each
// answer was read whole before it was passed on.
BOOST_FIXTURE_TEST_CASE(AnswersForSlowReadersAreBoundedTogether, RunningEntry)
{
  const std::string answer =
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: " +
    std::to_string(kAnswerBytes) + "\r\n\r\n" + std::string(kAnswerBytes, 'y');
  m_near.m_repeatedScript = answer;
  m_far.m_repeatedScript = answer;
  const size_t before = net::testing::ResidentBytes();
  const auto callers = StartCallers(*this, MakeRequest("plain"));
  BOOST_TEST(HeldSince(before) < kMaxHeldBytes);
  // Entry, upstream and callers share a thread, so that 54 MB take seconds on a
  // busy machine.
  constexpr int kMaxRounds = 1000;
  std::vector<std::string> answers(callers.size());
  const auto isAnswered = [](const std::string& aAnswer) {
    return Contains(aAnswer, "HTTP/1.1 200 ");
  };
  const auto countAnswered = [&] {
    return std::count_if(answers.begin(), answers.end(), isAnswered);
  };
  for (int i = 0; i < kMaxRounds && countAnswered() < kCallers; ++i) {
    RunFor(10);
    for (size_t k = 0; k < callers.size(); ++k) {
      answers[k] += isAnswered(answers[k]) ? "" : callers[k]->Read();
    }
    BOOST_TEST(HeldSince(before) < kMaxHeldBytes);
  }
  BOOST_TEST(countAnswered() == kCallers);
}

// Guards against answers that add up: one that does not fit is passed on as it
// arrives.
BOOST_AUTO_TEST_CASE(AnswerWithoutRoomIsPassedOn)
{
  EntryFixture entry;
  entry.m_maxHeldBytes = kAnswerBytes / 2;
  entry.Start();
  entry.Configure();
  const std::string head = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n";
  for (const size_t size : { kAnswerBytes / 4, kAnswerBytes }) {
    entry.m_near.AddScript(head + "Content-Length: " + std::to_string(size) +
                           "\r\n\r\n" + std::string(size, 'y'));
  }
  BOOST_TEST(Contains(entry.Call(MakeRequest("plain")), "Content-Length"));
  const std::string large = entry.Call(MakeRequest("plain"));
  BOOST_TEST(Contains(large, "Transfer-Encoding: chunked"));
  BOOST_TEST(Contains(large, "\r\n0\r\n\r\n"));
  BOOST_TEST(large.size() > kAnswerBytes);
}

BOOST_AUTO_TEST_CASE(ClaimsAreGivenBack)
{
  constexpr size_t kLimit = 100000;
  const auto held = std::make_shared<HeldBytes>(kLimit);
  HeldBytes::Claim first(held);
  BOOST_TEST(first.Resize(kLimit + HeldBytes::kFreeBytes));
  {
    HeldBytes::Claim second(held);
    BOOST_TEST(second.Resize(HeldBytes::kFreeBytes));
    BOOST_TEST(!second.Resize(HeldBytes::kFreeBytes + 1));
    BOOST_TEST(first.Resize(kLimit));
    BOOST_TEST(second.Resize(HeldBytes::kFreeBytes + 1));
    BOOST_TEST(held->Total() == kLimit - HeldBytes::kFreeBytes + 1);
  }
  BOOST_TEST(held->Total() == kLimit - HeldBytes::kFreeBytes);
  BOOST_TEST(first.Resize(0));
  BOOST_TEST(held->Total() == 0U);
}
