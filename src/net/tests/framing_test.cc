#include "net/framing.h"

#include <doctest/doctest.h>

namespace lentilhead::net {
namespace {

http::response_header<> HeadOf(unsigned status, unsigned version = 11) {
  http::response_header<> head;
  head.result(status);
  head.version(version);
  return head;
}

// Guards against answers whose status callers cannot tell from a success, or not read at all.
TEST_CASE("a status that no answer has is a problem") {
  for (const unsigned status : {0U, 1U, 99U, 600U, 999U}) {
    CHECK(ProblemOf(HeadOf(status)) == HeadProblem::kStatus);
  }
  for (const unsigned status : {100U, 200U, 299U, 451U, 503U, 599U}) {
    CHECK_FALSE(ProblemOf(HeadOf(status)));
  }
}

TEST_CASE("an answer of another major version is a problem") {
  CHECK_FALSE(ProblemOf(HeadOf(200, 10)));
  CHECK(ProblemOf(HeadOf(200, 20)) == HeadProblem::kVersion);
  CHECK(ProblemOf(HeadOf(200, 9)) == HeadProblem::kVersion);
}

// Guards against bodies whose end depends on the reader.
TEST_CASE("an answer whose end is ambiguous is a problem") {
  http::response_header<> head = HeadOf(200);
  head.set(http::field::transfer_encoding, "chunked");
  CHECK_FALSE(ProblemOf(head));
  head.set(http::field::content_length, "4");
  CHECK(ProblemOf(head) == HeadProblem::kFraming);
  head.erase(http::field::content_length);
  head.set(http::field::transfer_encoding, "gzip");
  CHECK(ProblemOf(head) == HeadProblem::kFraming);
  http::response_header<> old = HeadOf(200, 10);
  old.set(http::field::transfer_encoding, "chunked");
  CHECK(ProblemOf(old) == HeadProblem::kFraming);
}

TEST_CASE("a folded line is found in a head only") {
  CHECK(HasFoldedLine("HTTP/1.1 200 X\r\nA: b\r\n c: d\r\n\r\n"));
  CHECK(HasFoldedLine("HTTP/1.1 200 X\r\nA: b\r\n\tc"));
  CHECK_FALSE(HasFoldedLine("HTTP/1.1 200 X\r\nA: b\r\n\r\nbody\r\n folded"));
}

}  // namespace
}  // namespace lentilhead::net
