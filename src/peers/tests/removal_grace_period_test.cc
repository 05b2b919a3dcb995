#include "peers/removal_grace_period.h"

#include <doctest/doctest.h>

namespace lentilhead::peers {
namespace {

using std::chrono::milliseconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

TEST_CASE("an entry removed while the store is reachable has no grace period") {
  RemovalGracePeriod grace;
  grace.Note(true, true, kStart);
  CHECK(grace.UsableUntil(kStart) == kStart);
}

TEST_CASE("an entry removed while the store refuses only this node has no grace period") {
  RemovalGracePeriod grace;
  grace.Note(false, true, kStart);
  CHECK(grace.UsableUntil(kStart + milliseconds(100)) == kStart + milliseconds(100));
}

TEST_CASE("an entry that expired during a store outage stays usable for the grace period") {
  RemovalGracePeriod grace;
  grace.Note(false, false, kStart);
  grace.Note(true, true, kStart + milliseconds(100));
  CHECK(grace.UsableUntil(kStart + milliseconds(200)) >= kStart + milliseconds(2000));
  CHECK(grace.UsableUntil(kStart + milliseconds(3000)) == kStart + milliseconds(3000));
}

}  // namespace
}  // namespace lentilhead::peers
