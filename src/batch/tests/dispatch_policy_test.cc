#include <doctest/doctest.h>

#include "batch/tests/engine_model.h"

namespace lentilhead::batch::internal {

namespace {

constexpr std::uint64_t kSeeds[] = {10, 20, 30};
constexpr int kBurstSeeds = 20;

ModelResult RunOnce(BatchMode mode, double weight, std::uint64_t seed) {
  ModelSettings settings;
  settings.mode = mode;
  settings.policy_weight = weight;
  settings.seed = seed;
  return RunEngineModel(settings);
}

/// Ratio of the first token's p99 with batch work to that of the same arrivals without batch work.
double LatencyRatio(BatchMode mode, double weight, std::uint64_t seed) {
  return RunOnce(mode, weight, seed).Quantile(0.99) /
         RunOnce(BatchMode::kNone, weight, seed).Quantile(0.99);
}

}  // namespace

TEST_CASE(
    "at policy weight 0, batch work raises the first token's p99 at most by a factor of 1.05") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    CHECK(LatencyRatio(BatchMode::kGrant, 0, seed) <= 1.05);
    CHECK(LatencyRatio(BatchMode::kFixedShare, 0, seed) > 1.05);
    CHECK(LatencyRatio(BatchMode::kSendAll, 0, seed) > 1.05);
  }
}

TEST_CASE("the throughput policy uses at least 95% of the slot time that online work leaves free") {
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    const ModelResult result = RunOnce(BatchMode::kGrant, 1, seed);
    CHECK(result.UsedShare() >= 0.95);
    CHECK(result.UsefulShare() >= 0.94);
    CHECK(RunOnce(BatchMode::kFixedShare, 1, seed).UsedShare() < 0.95);
    CHECK(LatencyRatio(BatchMode::kGrant, 1, seed) < LatencyRatio(BatchMode::kFixedShare, 1, seed));
  }
}

TEST_CASE("a larger policy weight uses more of the free slot time") {
  double last = 0;
  for (const double weight : {0.0, 0.25, 0.5, 0.75, 1.0}) {
    const double used = RunOnce(BatchMode::kGrant, weight, kSeeds[0]).UsefulShare();
    CHECK(used >= last);
    last = used;
  }
}

TEST_CASE(
    "after idle time, batch work at weight 1 delays a burst's first token at most by a factor of "
    "1.2") {
  double sum = 0;
  for (int seed = 1; seed <= kBurstSeeds; ++seed) {
    ModelSettings settings;
    settings.single_burst = true;
    settings.seed = static_cast<std::uint64_t>(seed);
    settings.policy_weight = 1;
    settings.warm_up = std::chrono::milliseconds(60'000 + 7 * seed);
    settings.length = std::chrono::seconds(30);
    const ModelResult without = RunEngineModel(settings);
    settings.mode = BatchMode::kGrant;
    const ModelResult with = RunEngineModel(settings);
    sum += with.first_token_seconds.front() / without.first_token_seconds.front();
  }
  CHECK(sum / kBurstSeeds <= 1.2);
}

}  // namespace lentilhead::batch::internal
