#include "gateway/outside_limits.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lentilhead::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr net::SteadyTime kStart{std::chrono::hours(1)};

TEST_CASE("a limit of another group is known until it has not been named for a while") {
  OutsideLimits limits;
  limits.Merge({{7, milliseconds(2000)}, {8, std::chrono::hours(1)}}, kStart);
  CHECK(limits.IsLimited(7, kStart));
  CHECK_FALSE(limits.IsLimited(8, kStart));
  CHECK(limits.IsLimited(7, kStart + seconds(7)));
  CHECK_FALSE(limits.IsLimited(7, kStart + seconds(8)));
  limits.Merge({{7, milliseconds(9000)}}, kStart + seconds(1));
  CHECK(limits.IsLimited(7, kStart + seconds(7)));
}

TEST_CASE("an answer of an endpoint of another group counts at once") {
  OutsideLimits limits;
  limits.RecordAnswer(7, LimitNamed{3}, kStart);
  CHECK(limits.IsLimited(7, kStart));
  limits.RecordAnswer(7, LimitUnreadable{}, kStart);
  CHECK(limits.IsLimited(7, kStart));
  limits.RecordAnswer(7, NoLimitNamed{}, kStart);
  CHECK_FALSE(limits.IsLimited(7, kStart));
}

TEST_CASE("after an unexpected limit no other group is tried for a moment") {
  OutsideLimits limits;
  limits.Merge({{7, milliseconds(0)}}, kStart);
  limits.RecordAnswer(7, LimitNamed{3}, kStart);
  CHECK(limits.MayTry(kStart));
  limits.RecordAnswer(8, LimitNamed{3}, kStart);
  CHECK_FALSE(limits.MayTry(kStart));
  CHECK_FALSE(limits.MayTry(kStart + seconds(1)));
  CHECK(limits.MayTry(kStart + seconds(2)));
  limits.RecordAnswer(9, LimitNamed{3}, kStart + seconds(2));
  CHECK_FALSE(limits.MayTry(kStart + seconds(5)));
  CHECK(limits.MayTry(kStart + seconds(6)));
}

TEST_CASE("what is passed on is bounded, and all of it takes its turn") {
  OutsideLimits limits;
  const std::vector<std::uint32_t> own = {5000, 5001};
  std::vector<OutsideLimit> others;
  for (std::uint32_t incarnation = 0; incarnation < 600; ++incarnation) {
    others.push_back({incarnation, milliseconds(0)});
  }
  limits.Merge(others, kStart);
  std::vector<std::uint32_t> seen;
  for (const std::size_t first : {0U, 200U, 400U}) {
    const std::vector<OutsideLimit> facts = limits.Facts(own, first, kStart);
    CHECK(facts.size() == OutsideLimits::kMaxFacts);
    CHECK(facts[0].incarnation == own[0]);
    for (const OutsideLimit& fact : facts) {
      seen.push_back(fact.incarnation);
    }
  }
  std::sort(seen.begin(), seen.end());
  seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
  CHECK(seen.size() == 602);
}

}  // namespace
}  // namespace lentilhead::gateway
