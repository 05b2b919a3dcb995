#include "jobs/token_drain.h"

#include <doctest/doctest.h>

namespace lentilhead::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

TEST_CASE("a steady drain is measured as its rate") {
  TokenDrain drain;
  net::SteadyTime now = kStart;
  for (int step = 0; step < 300; ++step) {
    now += milliseconds(100);
    drain.Add(200, now);
  }
  CHECK(drain.TokensPerSecond(now) == doctest::Approx(2000).epsilon(0.05));
  CHECK(drain.RetryAfter(4000, 0, now).count() == doctest::Approx(2000).epsilon(0.05));
}

TEST_CASE("refused callers are spread and never wait without bound") {
  TokenDrain drain;
  CHECK(drain.RetryAfter(1, 0, kStart) == seconds(15));
  drain.Add(1'000'000, kStart);
  CHECK(drain.RetryAfter(1, 0, kStart) == milliseconds(400));
  CHECK(drain.RetryAfter(1, 0.999, kStart) > milliseconds(590));
}

}  // namespace
}  // namespace lentilhead::jobs
