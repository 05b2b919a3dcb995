#include <cstdint>
#include <cstdio>

#include "batch/tests/engine_model.h"

namespace {

using lentilhead::batch::internal::BatchMode;
using lentilhead::batch::internal::ModelResult;
using lentilhead::batch::internal::ModelSettings;
using lentilhead::batch::internal::RunEngineModel;

constexpr int kSeedCount = 5;
constexpr int kBurstSeedCount = 20;

void Compare(const char* name, BatchMode mode, double weight) {
  double ratio = 0;
  double used = 0;
  double useful = 0;
  for (int seed = 1; seed <= kSeedCount; ++seed) {
    ModelSettings settings;
    settings.seed = static_cast<std::uint64_t>(seed) * 10;
    const ModelResult without = RunEngineModel(settings);
    settings.mode = mode;
    settings.policy_weight = weight;
    const ModelResult with = RunEngineModel(settings);
    ratio += with.Quantile(0.99) / without.Quantile(0.99) / kSeedCount;
    used += with.UsedShare() / kSeedCount;
    useful += with.UsefulShare() / kSeedCount;
  }
  std::printf("%-12s %6.2f %10.3f %8.3f %8.3f\n", name, weight, ratio, used, useful);
}

void CompareBurst(double weight, std::chrono::milliseconds lag) {
  double sum = 0;
  for (int seed = 1; seed <= kBurstSeedCount; ++seed) {
    ModelSettings settings;
    settings.single_burst = true;
    settings.seed = static_cast<std::uint64_t>(seed) * 10;
    settings.warm_up = std::chrono::milliseconds(60'000 + 7 * seed);
    settings.length = std::chrono::seconds(30);
    settings.report_lag = lag;
    settings.policy_weight = weight;
    const ModelResult without = RunEngineModel(settings);
    settings.mode = BatchMode::kGrant;
    const ModelResult with = RunEngineModel(settings);
    sum += with.first_token_seconds.front() / without.first_token_seconds.front();
  }
  std::printf("%6.2f %8lld %8.3f\n", weight, static_cast<long long>(lag.count()),
              sum / kBurstSeedCount);
}

}  // namespace

/// Prints, for the baselines and for several policy weights, the p99 online first-token time with
/// batch work relative to that without, and the share of free slot time that batch work uses. Then
/// prints the relative first-token time for a single online burst on an otherwise idle engine.
int main() {
  std::printf("mode         weight  p99 ratio     used   useful\n");
  Compare("send-all", BatchMode::kSendAll, 0);
  Compare("fixed-share", BatchMode::kFixedShare, 0);
  for (const double weight : {0.0, 0.1, 0.25, 0.4, 0.5, 0.75, 0.9, 1.0}) {
    Compare("grant", BatchMode::kGrant, weight);
  }
  std::printf("burst from idle\nweight  lag ms    ratio\n");
  for (const double weight : {0.0, 0.5, 1.0}) {
    for (const int lag : {10, 50, 100, 250}) {
      CompareBurst(weight, std::chrono::milliseconds(lag));
    }
  }
  return 0;
}
