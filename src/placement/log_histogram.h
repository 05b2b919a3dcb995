#pragma once

#include <array>
#include <chrono>

#include "net/http_types.h"

namespace lentilhead::placement {

/// Distribution of positive numbers on a logarithmic scale; the weight of samples decays.
///
/// Bins of a quarter octave give quantiles within 10%. Reads no clock.
class LogHistogram {
 public:
  /// @param half_life time in which the weight of a sample halves.
  explicit LogHistogram(std::chrono::milliseconds half_life) : half_life(half_life) {}

  /// Adds a sample. Values outside 1/64 to 54 count as these.
  void Add(double value, double weight, net::SteadyTime now);

  /// Adds a sample of which only a lower bound is known, in the proportions of the larger samples.
  void AddAtLeast(double value, double weight, net::SteadyTime now);

  /// Sum of the weights.
  [[nodiscard]] double Weight(net::SteadyTime now) const;

  /// @param share from 0 to 1. @return the quantile; 1 without samples.
  [[nodiscard]] double Quantile(double share) const;

  /// @return the mean; 1 without samples.
  [[nodiscard]] double Mean() const;

 private:
  static constexpr std::size_t kBins = 48;

  [[nodiscard]] static std::size_t BinOf(double value);
  [[nodiscard]] static double ValueOf(std::size_t bin);
  void Decay(net::SteadyTime now);

  std::chrono::milliseconds half_life;
  net::SteadyTime decayed_at;
  float total = 0;
  std::array<float, kBins> weights{};
};

}  // namespace lentilhead::placement
