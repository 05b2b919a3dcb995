#include "placement/log_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lentilhead::placement {

namespace {

constexpr double kBinsPerOctave = 4;
constexpr double kOctavesBelowOne = 6;
// Decaying all bins at each sample would cost more than it gains.
constexpr std::chrono::milliseconds kDecayPeriod{100};

}  // namespace

std::size_t LogHistogram::BinOf(double value) {
  const double place = (std::log2(std::max(value, 1e-9)) + kOctavesBelowOne) * kBinsPerOctave;
  return static_cast<std::size_t>(std::clamp(std::round(place), 0.0, kBins - 1.0));
}

double LogHistogram::ValueOf(std::size_t bin) {
  return std::exp2(static_cast<double>(bin) / kBinsPerOctave - kOctavesBelowOne);
}

void LogHistogram::Decay(net::SteadyTime now) {
  const std::chrono::duration<double> age = now - this->decayed_at;
  if (age < kDecayPeriod) {
    return;
  }
  const auto factor = static_cast<float>(std::exp2(-age / this->half_life));
  for (float& weight : this->weights) {
    weight *= factor;
  }
  this->total = std::accumulate(this->weights.begin(), this->weights.end(), 0.0F);
  this->decayed_at = now;
}

void LogHistogram::Add(double value, double weight, net::SteadyTime now) {
  this->Decay(now);
  this->weights[BinOf(value)] += static_cast<float>(weight);
  this->total += static_cast<float>(weight);
}

void LogHistogram::AddAtLeast(double value, double weight, net::SteadyTime now) {
  this->Decay(now);
  const auto from = this->weights.begin() + static_cast<std::ptrdiff_t>(BinOf(value));
  const float above = std::accumulate(from, this->weights.end(), 0.0F);
  if (above <= 0) {
    this->Add(value, weight, now);
    return;
  }
  const auto factor = static_cast<float>(1 + weight / above);
  std::for_each(from, this->weights.end(), [&](float& other) { other *= factor; });
  this->total += static_cast<float>(weight);
}

double LogHistogram::Weight(net::SteadyTime now) const {
  const std::chrono::duration<double> age = now - this->decayed_at;
  return this->total <= 0 ? 0 : this->total * std::exp2(-age / this->half_life);
}

double LogHistogram::Quantile(double share) const {
  double left = share * this->total;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    left -= this->weights[bin];
    if (left < 0) {
      return ValueOf(bin);
    }
  }
  for (std::size_t bin = kBins; bin > 0; --bin) {
    if (this->weights[bin - 1] > 0) {
      return ValueOf(bin - 1);
    }
  }
  return 1;
}

double LogHistogram::Mean() const {
  double sum = 0;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    sum += this->weights[bin] * ValueOf(bin);
  }
  return this->total <= 0 ? 1 : sum / this->total;
}

}  // namespace lentilhead::placement
