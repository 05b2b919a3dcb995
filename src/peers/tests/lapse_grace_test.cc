#include "peers/lapse_grace.h"

#include <doctest/doctest.h>

namespace lentilhead::peers {
namespace {

using std::chrono::milliseconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

TEST_CASE("an entry that goes while the store serves is gone at once") {
  LapseGrace grace;
  grace.Note(true, true, kStart);
  CHECK(grace.KeepUntil(kStart) == kStart);
}

TEST_CASE("an entry that goes while the store turns away this node only is gone at once") {
  LapseGrace grace;
  grace.Note(false, true, kStart);
  CHECK(grace.KeepUntil(kStart + milliseconds(100)) == kStart + milliseconds(100));
}

TEST_CASE("an entry that lapsed while the store was away is kept until it would be back") {
  LapseGrace grace;
  grace.Note(false, false, kStart);
  grace.Note(true, true, kStart + milliseconds(100));
  CHECK(grace.KeepUntil(kStart + milliseconds(200)) >= kStart + milliseconds(2000));
  CHECK(grace.KeepUntil(kStart + milliseconds(3000)) == kStart + milliseconds(3000));
}

}  // namespace
}  // namespace lentilhead::peers
