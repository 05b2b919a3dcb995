#include "jobs/internal/start_room.h"

#include <doctest/doctest.h>

namespace lentilhead::jobs::internal {
namespace {

TEST_CASE("a service without a limit takes items of any size") {
  StartRoom room;
  room.Limit("one", 500);
  CHECK_FALSE(room.IsClosed("two"));
  CHECK(room.MemoryOf("two") > 1e9);
  CHECK(room.MemoryOf("one") == 500);
  CHECK_FALSE(room.IsClosed("one"));
}

// Guards against a round of starts that asks for the same item without end.
TEST_CASE("a limit that was known before closes a service") {
  StartRoom room;
  room.Limit("one", 500);
  room.Limit("one", 400);
  CHECK(room.MemoryOf("one") == 400);
  room.Limit("one", 400);
  CHECK(room.IsClosed("one"));
}

TEST_CASE("a closed service takes no item") {
  StartRoom room;
  room.Close("one");
  CHECK(room.IsClosed("one"));
  CHECK_FALSE(room.IsClosed("two"));
}

}  // namespace
}  // namespace lentilhead::jobs::internal
