#include "rowstore/store_path.h"

#include <doctest/doctest.h>

#include <vector>

namespace lentilhead::rowstore {
namespace {

using std::chrono::milliseconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

TEST_CASE("a single failure keeps calls on the direct path") {
  StorePath path;
  CHECK(path.IsServed());
  path.Note(PathEvidence::kTurnedAway, kStart);
  CHECK_FALSE(path.IsServed());
  CHECK(path.TryDirect(kStart));
}

TEST_CASE("a node that is turned away again, or meets silence, asks peers and tries now and then") {
  for (const auto& evidence : {std::vector{PathEvidence::kTurnedAway, PathEvidence::kTurnedAway},
                               std::vector{PathEvidence::kSilent}}) {
    StorePath path;
    for (const PathEvidence each : evidence) {
      path.Note(each, kStart);
    }
    int direct = 0;
    for (int step = 0; step < 500; ++step) {
      direct += path.TryDirect(kStart + step * milliseconds(10)) ? 1 : 0;
    }
    CHECK(direct >= 3);
    CHECK(direct <= 6);
  }
}

TEST_CASE("an answer of the store ends the detour") {
  StorePath path;
  path.Note(PathEvidence::kSilent, kStart);
  path.Note(PathEvidence::kServed, kStart + milliseconds(10));
  CHECK(path.IsServed());
  CHECK(path.TryDirect(kStart + milliseconds(10)));
}

}  // namespace
}  // namespace lentilhead::rowstore
