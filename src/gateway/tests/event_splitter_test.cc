#include "gateway/internal/event_splitter.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway::internal {
namespace {

constexpr std::size_t kPieceBytes = 4096;
constexpr std::size_t kPieces = (16 << 20) / kPieceBytes;

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

TEST_CASE("events without id and data have no content") {
  EventSplitter splitter;
  const std::vector<StreamEvent> events =
      splitter.Add("\n\r\n: comment\n\nretry: 5\n\nid: 7\n\ndata:\n\ndata: a\n\n");
  REQUIRE(events.size() == 7);
  for (std::size_t index = 0; index < events.size(); ++index) {
    CHECK(events[index].has_content == (index == 4 || index >= 5));
  }
}

bool IsWellFormed(const std::string& bytes) {
  EventSplitter splitter;
  const std::vector<StreamEvent> events = splitter.Add(bytes);
  REQUIRE(events.size() == 1);
  return events[0].is_well_formed;
}

TEST_CASE("events, comments and blank lines are well formed") {
  for (const char* bytes :
       {"\n", "\r\n", ": comment\n\n", ":\n\n", "retry: 5\n\n", "event: end\n\n", "data\n\n",
        "id: 7\r\ndata: HTTP/1.1 200 OK\r\n\r\n", "x-weight-versions: 4\nid: 1\ndata: a\n\n",
        "x-weight-versions: 4\n\n", "other-field: 1\nid: 1\ndata: a\n\n", "data: {\n\n"}) {
    CAPTURE(bytes);
    CHECK(IsWellFormed(bytes));
  }
}

TEST_CASE("a head, a text or a join of two events is not well formed") {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "HTTP/1.1 503 X\r\n\r\n",
        "upstream failed\n\n", "Internal Server Error\n\n", "{\"error\":\"x\"}\n\n",
        "error: upstream failed\n\n", "id: 3\ndaHTTP/1.1 200 OK\r\n\r\n",
        "id: 3HTTP/1.1 200 OK\r\nServer: x\r\n\r\n", "text\nid: 4\ndata: a\n\n",
        "id: 3\ndata: aid: 1\nid: 2\n\n", "6\r\n\r\n"}) {
    CAPTURE(bytes);
    CHECK_FALSE(IsWellFormed(bytes));
  }
}

TEST_CASE("an id is a whole number") {
  EventSplitter splitter;
  const std::vector<StreamEvent> events = splitter.Add("id: 3x\n\nid: -1\n\nid:\n\n");
  REQUIRE(events.size() == 3);
  CHECK_FALSE(events[0].id);
  CHECK(events[1].id == -1);
  CHECK_FALSE(events[2].id);
}

std::uint64_t ExaminedBytes(const std::string& piece, std::size_t count, std::size_t* events) {
  EventSplitter splitter;
  for (std::size_t number = 0; number < count; ++number) {
    *events += splitter.Add(piece).size();
  }
  return splitter.ExaminedBytes();
}

TEST_CASE("an unfinished event is not searched again with each piece") {
  const std::string without_lines(kPieceBytes, 'x');
  std::string lines;
  while (lines.size() < kPieceBytes) {
    lines += "data: x\n";
  }
  for (const std::string& piece : {without_lines, lines}) {
    std::size_t events = 0;
    CHECK(ExaminedBytes(piece, kPieces, &events) <= kPieces * piece.size());
    CHECK(events == 0);
  }
}

TEST_CASE("each byte of complete events is examined twice at most") {
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += "id: 1\ndata: one\n\n";
  }
  std::size_t events = 0;
  const std::string with_rest = piece + "data: th";
  CHECK(ExaminedBytes(with_rest, kPieces, &events) <= kPieces * with_rest.size() * 2);
  CHECK(events > kPieces);
}

TEST_CASE("data lines of an event are joined") {
  CHECK(DataOf("id: 1\ndata: a\ndata: b\n\n") == "a\nb");
  CHECK(DataOf("x-weight-versions: 4\nid: 1\ndata: a\n\n") == "a");
  CHECK(DataOf("id: 1\n\n").empty());
}

}  // namespace
}  // namespace lentilhead::gateway::internal
