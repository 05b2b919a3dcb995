#include "online/internal/admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace lentilhead::online {

namespace {

using internal::Admission;
using internal::AdmissionEffects;
using internal::AdmissionRequest;
using internal::Admitted;
using internal::Rejected;
using std::chrono::milliseconds;

constexpr int kSlots = 8;
constexpr std::uint64_t kSteps = 2'000;
constexpr CallerLimits kLimits{10'000, 1e6, 1e6};

framework::MonotonicTime At(int time_ms) { return framework::MonotonicTime(milliseconds(time_ms)); }

AdmissionRequest Request(std::uint64_t id, const std::string& caller, double cost = 100) {
  return {id, caller, "profiles", cost, At(1'000'000), kLimits};
}

std::vector<std::uint64_t> AdmittedIn(const AdmissionEffects& effects) {
  std::vector<std::uint64_t> ids;
  for (const auto& effect : effects) {
    if (const auto* admitted = std::get_if<Admitted>(&effect)) {
      ids.push_back(admitted->id);
    }
  }
  return ids;
}

const Refusal* RefusalIn(const AdmissionEffects& effects) {
  const auto* rejected = effects.empty() ? nullptr : std::get_if<Rejected>(&effects.front());
  return rejected == nullptr ? nullptr : &rejected->refusal;
}

}  // namespace

TEST_CASE("a flooding caller does not delay the requests of another caller") {
  Admission admission({1'000, milliseconds(10'000), 100});
  for (std::uint64_t id = 1; id <= 100; ++id) {
    CHECK(admission.Submit(Request(id, "flood"), 0, At(0)).empty());
  }
  for (std::uint64_t id = 101; id <= 105; ++id) {
    CHECK(admission.Submit(Request(id, "small"), 0, At(0)).empty());
  }
  const auto admitted = AdmittedIn(admission.Dispatch("profiles", 10, At(0)));
  CHECK(std::count_if(admitted.begin(), admitted.end(), [](auto id) { return id > 100; }) == 5);
}

TEST_CASE("admissions are shared between callers by cost") {
  Admission admission({1'000, milliseconds(10'000), 100});
  for (std::uint64_t id = 1; id <= 100; ++id) {
    CHECK(admission.Submit(Request(id, "long", 400), 0, At(0)).empty());
    CHECK(admission.Submit(Request(1'000 + id, "short", 100), 0, At(0)).empty());
  }
  const auto admitted = AdmittedIn(admission.Dispatch("profiles", 50, At(0)));
  CHECK(std::count_if(admitted.begin(), admitted.end(), [](auto id) { return id > 1'000; }) == 40);
}

TEST_CASE("a request above a limit is refused at once with a retry time") {
  Admission admission({2, milliseconds(1'000), 100});
  AdmissionRequest limited = Request(1, "limited");
  limited.limits = {1, 1e6, 1e6};
  CHECK(AdmittedIn(admission.Submit(limited, 1, At(0))).size() == 1);
  limited.id = 2;
  const auto in_flight = admission.Submit(limited, 1, At(0));
  REQUIRE(RefusalIn(in_flight) != nullptr);
  CHECK(RefusalIn(in_flight)->reason == RefusalReason::kCallerInFlight);
  AdmissionRequest slow = Request(3, "slow");
  slow.limits = {10, 1, 1};
  CHECK(AdmittedIn(admission.Submit(slow, 1, At(0))).size() == 1);
  slow.id = 4;
  const auto rate = admission.Submit(slow, 1, At(0));
  REQUIRE(RefusalIn(rate) != nullptr);
  CHECK(RefusalIn(rate)->reason == RefusalReason::kCallerRate);
  CHECK(RefusalIn(rate)->retry_after == milliseconds(1'000));
  CHECK(admission.Submit(Request(5, "a"), 0, At(0)).empty());
  CHECK(admission.Submit(Request(6, "b"), 0, At(0)).empty());
  const auto full = admission.Submit(Request(7, "c"), 0, At(0));
  REQUIRE(RefusalIn(full) != nullptr);
  CHECK(RefusalIn(full)->reason == RefusalReason::kQueueFull);
  CHECK(RefusalIn(full)->retry_after.has_value());
}

TEST_CASE("a request that would wait too long is refused on arrival, not at its deadline") {
  Admission admission({1'000, milliseconds(1'000), 100});
  CHECK(AdmittedIn(admission.Submit(Request(1, "a"), 1, At(0))).size() == 1);
  CHECK(AdmittedIn(admission.Submit(Request(2, "a"), 1, At(0))).size() == 1);
  admission.Release(1, At(600));
  CHECK(admission.Submit(Request(3, "a"), 0, At(600)).empty());
  // One request runs, and requests take 600 ms.
  const auto refused = admission.Submit(Request(4, "a"), 0, At(600));
  REQUIRE(RefusalIn(refused) != nullptr);
  CHECK(RefusalIn(refused)->reason == RefusalReason::kWaitTooLong);
  CHECK(RefusalIn(refused)->retry_after == milliseconds(200));
}

TEST_CASE("a queued request is refused as soon as it cannot be admitted in time") {
  Admission admission({1'000, milliseconds(2'000), 100});
  CHECK(AdmittedIn(admission.Submit(Request(1, "a"), 1, At(0))).size() == 1);
  CHECK(AdmittedIn(admission.Submit(Request(2, "a"), 1, At(0))).size() == 1);
  admission.Release(1, At(800));
  CHECK(admission.Submit(Request(3, "a"), 0, At(800)).empty());
  CHECK(admission.Expire(At(1'900)).empty());
  // At one admission every 800 ms, the request cannot be admitted before 2,800 ms.
  const auto expired = admission.Expire(At(2'000));
  REQUIRE(RefusalIn(expired) != nullptr);
  CHECK(RefusalIn(expired)->reason == RefusalReason::kQueueTimeout);
  CHECK(RefusalIn(expired)->outcome == Outcome::kNotRun);
  CHECK(admission.QueuedCount() == 0);
}

TEST_CASE("after one measured request and a long pause, a burst is queued up to the wait limit") {
  Admission admission({1'000, milliseconds(5'000), 100});
  CHECK(AdmittedIn(admission.Submit(Request(1, "a"), 1, At(0))).size() == 1);
  admission.Release(1, At(4'000));
  for (std::uint64_t id = 2; id <= 17; ++id) {
    CHECK(AdmittedIn(admission.Submit(Request(id, "a"), 1, At(900'000))).size() == 1);
  }
  // Sixteen requests of 4 s run, so one ends every 250 ms on average.
  for (std::uint64_t id = 18; id <= 37; ++id) {
    CHECK(admission.Submit(Request(id, "a"), 0, At(900'000)).empty());
  }
  CHECK(RefusalIn(admission.Submit(Request(38, "a"), 0, At(900'000))) != nullptr);
}

TEST_CASE("random requests are admitted within the slots and each is answered once") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    Admission admission({20, milliseconds(500), 100});
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> queued;
    int refused = 0;
    int time = 0;
    const auto apply = [&](const AdmissionEffects& effects) {
      for (const auto& effect : effects) {
        if (const auto* admitted = std::get_if<Admitted>(&effect)) {
          REQUIRE(queued.erase(admitted->id) == 1);
          running.insert(admitted->id);
        } else {
          REQUIRE(queued.erase(std::get<Rejected>(effect).id) == 1);
          refused += 1;
        }
      }
      REQUIRE(running.size() <= kSlots);
    };
    const auto free = [&] { return kSlots - static_cast<int>(running.size()); };
    for (std::uint64_t id = 1; id <= kSteps; ++id) {
      time += static_cast<int>(random() % 20);
      queued.insert(id);
      const std::string caller = "caller-" + std::to_string(random() % 5);
      apply(admission.Submit(Request(id, caller, 1 + static_cast<double>(random() % 500)), free(),
                             At(time)));
      if (!running.empty() && random() % 3 != 0) {
        const std::uint64_t ended = *running.begin();
        running.erase(ended);
        admission.Release(ended, At(time));
        apply(admission.Dispatch("profiles", free(), At(time)));
      }
      if (random() % 10 == 0 && !queued.empty()) {
        admission.Withdraw(*queued.begin());
        queued.erase(queued.begin());
      }
      apply(admission.Expire(At(time)));
      REQUIRE(queued.size() == admission.QueuedCount());
      REQUIRE((queued.empty() || free() == 0));
    }
    CHECK(refused > 0);
  }
}

}  // namespace lentilhead::online
