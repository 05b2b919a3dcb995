#pragma once

namespace lentilhead::online::internal {

/// Limits retries to a share of the first attempts plus a burst.
class RetryBudget {
 public:
  /// @param share retries that each first attempt adds to the budget.
  /// @param burst largest number of retries in the budget, which starts full.
  RetryBudget(double share, double burst) : share(share), burst(burst), level(burst) {}

  void OnFirstAttempt() {
    this->level = this->level + this->share < this->burst ? this->level + this->share : this->burst;
  }

  /// Takes one retry if the budget allows it.
  [[nodiscard]] bool TryTake() {
    if (this->level < 1) {
      return false;
    }
    this->level -= 1;
    return true;
  }

 private:
  double share;
  double burst;
  double level;
};

}  // namespace lentilhead::online::internal
