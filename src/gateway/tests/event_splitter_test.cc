#include "gateway/internal/event_splitter.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway::internal {
namespace {

TEST_CASE("events end at empty lines however the bytes are split") {
  const std::string stream = "id: 1\ndata: one\n\nid:2\r\ndata:two\r\n\r\nid: 3\ndata: th";
  for (std::size_t split = 0; split <= stream.size(); ++split) {
    EventSplitter splitter;
    std::vector<StreamEvent> events = splitter.Add(stream.substr(0, split));
    for (StreamEvent& event : splitter.Add(stream.substr(split))) {
      events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == 1);
    CHECK(events[0].bytes == "id: 1\ndata: one\n\n");
    CHECK(events[1].id == 2);
    CHECK(DataOf(events[1].bytes) == "two");
    CHECK(splitter.Rest() == "id: 3\ndata: th");
  }
}

TEST_CASE("data lines of an event are joined") {
  CHECK(DataOf("id: 1\ndata: a\ndata: b\n\n") == "a\nb");
  CHECK(DataOf("x-weight-versions: 4\nid: 1\ndata: a\n\n") == "a");
  CHECK(DataOf("id: 1\n\n").empty());
}

}  // namespace
}  // namespace lentilhead::gateway::internal
