#include "gateway/outcome_watch.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway {
namespace {

void Record(OutcomeWatch& watch, int served, int unserved, const char* reason) {
  for (int request = 0; request < served; ++request) {
    watch.Record(true, "answer");
  }
  for (int request = 0; request < unserved; ++request) {
    watch.Record(false, reason);
  }
}

TEST_CASE("a node that stops serving tells it once with the most frequent reason") {
  OutcomeWatch watch;
  Record(watch, 9, 1, "deadline");
  CHECK(!watch.EndPeriod());
  watch.Record(false, "deadline");
  Record(watch, 1, 5, "cut_off");
  const auto lost = watch.EndPeriod();
  REQUIRE(lost);
  CHECK(!lost->is_serving);
  CHECK(lost->served == 1);
  CHECK(lost->unserved == 6);
  CHECK(lost->reason == "cut_off");
  Record(watch, 1, 5, "cut_off");
  CHECK(!watch.EndPeriod());
  Record(watch, 5, 1, "cut_off");
  const auto regained = watch.EndPeriod();
  REQUIRE(regained);
  CHECK(regained->is_serving);
}

TEST_CASE("a node that does not serve for long tells it again") {
  OutcomeWatch watch;
  int told = 0;
  for (int period = 0; period < 2 * OutcomeWatch::kRepeatPeriods; ++period) {
    Record(watch, 0, 5, "no_endpoint");
    told += watch.EndPeriod() ? 1 : 0;
  }
  CHECK(told == 2);
}

TEST_CASE("a few requests in a period tell nothing") {
  OutcomeWatch watch;
  Record(watch, 0, OutcomeWatch::kMinRequests - 1, "deadline");
  CHECK(!watch.EndPeriod());
}

}  // namespace
}  // namespace lentilhead::gateway
