#include "rowstore/store_path.h"

#include <doctest/doctest.h>

#include <vector>

namespace lentilhead::rowstore {
namespace {

using std::chrono::milliseconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

TEST_CASE("after a single failure calls still go to the store directly") {
  StorePath path;
  CHECK(path.IsServingThisNode());
  path.Note(PathOutcome::kRefused, kStart);
  CHECK_FALSE(path.IsServingThisNode());
  CHECK(path.ShouldTryDirect(kStart));
}

TEST_CASE("after two refusals or one timeout calls use peers with periodic direct attempts") {
  for (const auto& outcome : {std::vector{PathOutcome::kRefused, PathOutcome::kRefused},
                              std::vector{PathOutcome::kSilent}}) {
    StorePath path;
    for (const PathOutcome each : outcome) {
      path.Note(each, kStart);
    }
    int direct = 0;
    for (int step = 0; step < 500; ++step) {
      direct += path.ShouldTryDirect(kStart + step * milliseconds(10)) ? 1 : 0;
    }
    CHECK(direct >= 3);
    CHECK(direct <= 6);
  }
}

TEST_CASE("an answer of the store ends the use of peers") {
  StorePath path;
  path.Note(PathOutcome::kSilent, kStart);
  path.Note(PathOutcome::kAnswered, kStart + milliseconds(10));
  CHECK(path.IsServingThisNode());
  CHECK(path.ShouldTryDirect(kStart + milliseconds(10)));
}

}  // namespace
}  // namespace lentilhead::rowstore
