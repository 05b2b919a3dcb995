#include "batch/internal/work_selector.h"

#include <doctest/doctest.h>

namespace lentilhead::batch::internal {

namespace {

using std::chrono::milliseconds;

const framework::MonotonicTime kNow{std::chrono::hours(1)};

JobOffer Offer(std::string job, std::string caller, std::size_t pending, int laxity_seconds) {
  return {std::move(job),
          std::move(caller),
          "profiles",
          1,
          pending,
          0,
          std::chrono::seconds(laxity_seconds)};
}

std::map<std::string, std::size_t> Counts(const std::vector<WorkRequest>& requests) {
  std::map<std::string, std::size_t> counts;
  for (const WorkRequest& request : requests) {
    counts[request.job] += request.count;
  }
  return counts;
}

}  // namespace

TEST_CASE("a caller with many jobs gets no more than one with a single job") {
  WorkSelector selector(milliseconds(2'500));
  for (int job = 0; job < 10; ++job) {
    selector.OnOffer("p0", Offer("flood" + std::to_string(job), "a", 1'000, 10), kNow);
  }
  selector.OnOffer("p1", Offer("single", "b", 1'000, 1'000), kNow);
  std::size_t single = 0;
  std::size_t all = 0;
  for (int round = 0; round < 50; ++round) {
    for (const auto& [job, count] : Counts(selector.Select("profiles", 3, kNow))) {
      all += count;
      single += job == "single" ? count : 0;
    }
  }
  CHECK(all == 150);
  CHECK(single >= 71);
  CHECK(single <= 79);
}

TEST_CASE("among the jobs of a caller the one with the least laxity goes first") {
  WorkSelector selector(milliseconds(2'500));
  selector.OnOffer("p0", Offer("relaxed", "a", 100, 500), kNow);
  selector.OnOffer("p0", Offer("urgent", "a", 5, 20), kNow);
  const auto counts = Counts(selector.Select("profiles", 8, kNow));
  CHECK(counts.at("urgent") == 5);
  CHECK(counts.at("relaxed") == 3);
}

TEST_CASE("an offer expires and an offer of an older epoch is ignored") {
  WorkSelector selector(milliseconds(2'500));
  JobOffer offer = Offer("job", "a", 5, 20);
  offer.epoch = 2;
  selector.OnOffer("p1", offer, kNow);
  offer.epoch = 1;
  selector.OnOffer("p0", offer, kNow);
  CHECK(selector.OwnerOf("job", kNow) == "p1");
  CHECK(selector.Select("profiles", 1, kNow + milliseconds(2'500)).empty());
  CHECK(selector.OwnerOf("job", kNow + milliseconds(2'500)).empty());
}

}  // namespace lentilhead::batch::internal
