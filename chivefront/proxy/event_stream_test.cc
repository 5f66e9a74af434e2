// Tests of event boundaries and ids.
#define BOOST_TEST_MODULE proxy_event_stream
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/event_stream.h"

using chivefront::proxy::EventSplitter;

BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreForwarded)
{
  EventSplitter events;
  BOOST_TEST(events.Add("id: 1\ndata: a\n") == "");
  BOOST_TEST(events.Add("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(events.LastId().value() == 1U);
  BOOST_TEST(events.PartialEvent() == "id: 2\nda");
  // The upstream fails; another one resumes after event 1.
  events.Restart();
  BOOST_TEST(events.Add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(events.LastId().value() == 2U);
}

// Guards against events or ids that are lost when an event, its id or its blank
// line is split between two reads.
BOOST_AUTO_TEST_CASE(SplitPointsDoNotMatter)
{
  const std::string text =
    "id: 7\ndata: x\n\nid:8\ndata: y\n\nversion: 2\nid: 9\ndata: z\n\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter events;
    std::string received = events.Add(text.substr(0, cut));
    received += events.Add(text.substr(cut));
    BOOST_TEST(received == text);
    BOOST_TEST(events.LastId().value() == 9U);
    BOOST_TEST(events.PartialEvent().empty());
  }
}
