#include "gateway/shutdown_policy.h"

#include <doctest/doctest.h>

#include "gateway/route_durations.h"

namespace lentilhead::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{8000};
const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

ShutdownTimes TimesWithLag(milliseconds lag, milliseconds grace = kGrace) {
  return {kStart, grace, lag, ShutdownPolicy::ExitAt(kStart, grace, lag), {}};
}

TEST_CASE("the exit leaves room before the kill, and uses five sixths of the grace period") {
  for (const milliseconds grace : {milliseconds(600), milliseconds(2000), kGrace}) {
    net::SteadyTime earlier = net::SteadyTime::max();
    for (const milliseconds lag :
         {milliseconds(0), milliseconds(50), milliseconds(200), milliseconds(2000)}) {
      const net::SteadyTime exit = ShutdownPolicy::ExitAt(kStart, grace, lag);
      CHECK(exit < kStart + grace);
      CHECK(exit >= kStart + grace - grace / 6);
      CHECK(exit <= earlier);
      earlier = exit;
    }
  }
}

TEST_CASE("the exit cuts no request that was accepted after new connections ended") {
  for (const milliseconds lag : {milliseconds(0), milliseconds(100), milliseconds(500)}) {
    const ShutdownTimes times = TimesWithLag(lag);
    for (milliseconds sent = ShutdownPolicy::kListenerDrainTime; sent < kGrace;
         sent += milliseconds(50)) {
      for (milliseconds longest(50); longest < 2 * kGrace; longest += milliseconds(50)) {
        const RequestSpan request{longest, milliseconds(1)};
        const net::SteadyTime now = kStart + sent;
        CHECK(ShutdownPolicy::Accepts(times, request, now) == (now + longest <= times.exits_at));
      }
    }
  }
}

TEST_CASE("while new connections arrive only what usually outlasts the exit is refused") {
  const ShutdownTimes times = TimesWithLag(milliseconds(0));
  const net::SteadyTime now = kStart + milliseconds(1000);
  CHECK(ShutdownPolicy::Accepts(times, {milliseconds(5000), std::nullopt}, now));
  CHECK(ShutdownPolicy::Accepts(times, {milliseconds(30000), std::nullopt}, now));
  CHECK(ShutdownPolicy::Accepts(times, {milliseconds(30000), milliseconds(400)}, now));
  CHECK_FALSE(ShutdownPolicy::Accepts(times, {milliseconds(30000), milliseconds(9000)}, now));
  CHECK(ShutdownPolicy::Accepts(times, {milliseconds(5000), milliseconds(9000)}, now));
}

TEST_CASE("the exit moves, when the event loop lags, to no time before a promised end") {
  ShutdownTimes times = TimesWithLag(milliseconds(0));
  const net::SteadyTime first_exit = times.exits_at;
  times.promised_until = first_exit - milliseconds(100);
  times.lag = milliseconds(300);
  times.exits_at = ShutdownPolicy::RevisedExit(times);
  CHECK(times.exits_at == first_exit - milliseconds(100));
  times.lag = milliseconds(0);
  CHECK(ShutdownPolicy::RevisedExit(times) == times.exits_at);
  times.promised_until = {};
  times.lag = milliseconds(300);
  CHECK(ShutdownPolicy::RevisedExit(times) ==
        ShutdownPolicy::ExitAt(kStart, kGrace, milliseconds(300)));
}

TEST_CASE("a stop signal noticed late lets in nothing that the exit may cut") {
  for (const milliseconds late : {milliseconds(0), milliseconds(100), milliseconds(400)}) {
    const ShutdownTimes times = TimesWithLag(late);
    const net::SteadyTime now = kStart + ShutdownPolicy::kListenerDrainTime - late;
    CHECK_FALSE(ShutdownPolicy::Accepts(times, {milliseconds(30000), std::nullopt}, now));
  }
}

TEST_CASE("nothing is accepted at the exit") {
  const ShutdownTimes times = TimesWithLag(milliseconds(0));
  CHECK_FALSE(ShutdownPolicy::Accepts(times, {milliseconds(1), milliseconds(0)}, times.exits_at));
  const ShutdownTimes short_grace = TimesWithLag(milliseconds(0), milliseconds(1000));
  CHECK_FALSE(ShutdownPolicy::Accepts(short_grace, {milliseconds(5000), std::nullopt},
                                      short_grace.exits_at));
}

TEST_CASE("the average duration of a route follows its recent requests") {
  RouteDurations durations;
  CHECK_FALSE(durations.Average("a").has_value());
  durations.Record("a", milliseconds(1000));
  CHECK(durations.Average("a") == milliseconds(1000));
  for (int count = 0; count < 100; ++count) {
    durations.Record("a", milliseconds(200));
  }
  CHECK(durations.Average("a") < milliseconds(210));
  CHECK_FALSE(durations.Average("b").has_value());
}

}  // namespace
}  // namespace lentilhead::gateway
