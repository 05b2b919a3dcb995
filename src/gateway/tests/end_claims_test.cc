#include "gateway/types/end_claims.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway {
namespace {

TEST_CASE("the end of a stream is confirmed by a second endpoint only") {
  EndClaims claims;
  CHECK(claims.Add("i-1") == EndClaims::Result::kFirst);
  CHECK(claims.Add("i-1") == EndClaims::Result::kSame);
  CHECK(claims.Add("i-2") == EndClaims::Result::kConfirmed);
}

TEST_CASE("claims of the end do not outlast a further event") {
  EndClaims claims;
  CHECK(claims.Add("i-1") == EndClaims::Result::kFirst);
  claims.Clear();
  CHECK(claims.Add("i-2") == EndClaims::Result::kFirst);
}

TEST_CASE("a claim without framing is dropped with the others") {
  EndClaims claims;
  CHECK(claims.Add("i-1") == EndClaims::Result::kFirst);
  CHECK(!claims.IsClaimedWithoutFraming());
  CHECK(claims.AddWithoutFraming("i-2") == EndClaims::Result::kConfirmed);
  CHECK(claims.IsClaimedWithoutFraming());
  claims.Clear();
  CHECK(!claims.IsClaimedWithoutFraming());
}

}  // namespace
}  // namespace lentilhead::gateway
