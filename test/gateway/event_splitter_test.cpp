/// @file
/// Tests of src/gateway/event_splitter.h.
#include "gateway/event_splitter.h"

#include <doctest/doctest.h>

#include <vector>

namespace fernmoor::gateway {

namespace {

std::vector<RawEvent> drain(EventSplitter& splitter) {
  std::vector<RawEvent> events;
  while (auto event = splitter.next()) {
    events.push_back(*event);
  }
  return events;
}

}  // namespace

TEST_CASE("events are complete and unchanged however the input is split") {
  const std::string stream =
      "x-weight-versions: 3\nid: 4\ndata: a\n\nid:5\r\ndata: b\r\n\r\ndata: c\n\n";
  for (size_t step = 1; step <= stream.size(); ++step) {
    EventSplitter splitter;
    std::vector<RawEvent> events;
    for (size_t start = 0; start < stream.size(); start += step) {
      splitter.add(stream.substr(start, step));
      for (RawEvent& event : drain(splitter)) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].bytes + events[1].bytes + events[2].bytes == stream);
    CHECK(events[0].id == "4");
    CHECK(events[1].id == "5");
    CHECK(events[2].id.empty());
    CHECK_FALSE(splitter.hasPartialEvent());
  }
}

TEST_CASE("an incomplete event is not returned") {
  EventSplitter splitter;
  splitter.add("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  CHECK(drain(splitter).size() == 1);
  CHECK(splitter.hasPartialEvent());
}

}  // namespace fernmoor::gateway
