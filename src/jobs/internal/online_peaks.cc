#include "jobs/online_peaks.h"

#include <algorithm>
#include <vector>

namespace lentilhead::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSampleSpan{200};
// Three periods of a square wave of 5.8 s.
constexpr milliseconds kWindow{18000};
// Demand is learned when the samples span more than one period of that wave.
constexpr milliseconds kLearned{6000};
// Quantiles of the samples that stand for the peaks and for the low phases. High phases are two
// fifths of the time, so the first is in their upper half and above the rise at their beginning.
constexpr double kPeakQuantile = 0.85;
constexpr double kLowQuantile = 0.25;
// Demand that varies less has no phases: the peak is less than this multiple of the low demand.
constexpr double kMinSwing = 1.5;
// Parts of the way from the low demand to the peak at which a phase begins and ends.
constexpr double kHighAbove = 0.55;
constexpr double kLowBelow = 0.45;
constexpr std::size_t kPhases = 3;

}  // namespace

void OnlinePeaks::Record(int online, net::SteadyTime now) {
  if (this->samples.empty() || now - this->samples.back().from >= kSampleSpan) {
    while (!this->samples.empty() && now - this->samples.front().from > kWindow) {
      this->samples.pop_front();
    }
    this->samples.push_back({now});
    this->Update(now);
  }
  Sample& sample = this->samples.back();
  sample.sum += online;
  ++sample.count;
}

bool OnlinePeaks::IsLearned(net::SteadyTime now) const {
  return !this->samples.empty() && now - this->samples.front().from >= kLearned;
}

void OnlinePeaks::Update(net::SteadyTime now) {
  std::vector<double> means;
  for (const Sample& sample : this->samples) {
    if (sample.count > 0) {
      means.push_back(sample.sum / sample.count);
    }
  }
  if (means.empty()) {
    return;
  }
  const double last = means.back();
  const auto quantile = [&means](double part) {
    const auto place = static_cast<std::size_t>(part * static_cast<double>(means.size() - 1));
    std::nth_element(means.begin(), means.begin() + static_cast<std::ptrdiff_t>(place),
                     means.end());
    return means[place];
  };
  const double low = quantile(kLowQuantile);
  this->peak = quantile(kPeakQuantile);
  if (this->peak < kMinSwing * low) {
    this->is_high = false;
    this->low_since = {};
    this->low_phases.clear();
    return;
  }
  const double part = (last - low) / std::max(1.0, this->peak - low);
  if (!this->is_high && part > kHighAbove) {
    this->is_high = true;
    if (this->low_since != net::SteadyTime{}) {
      this->low_phases.push_back(std::chrono::duration_cast<milliseconds>(now - this->low_since));
    }
    if (this->low_phases.size() > kPhases) {
      this->low_phases.pop_front();
    }
    this->low_since = {};
  } else if (this->is_high && part < kLowBelow) {
    this->is_high = false;
    this->low_since = now;
  }
}

milliseconds OnlinePeaks::UntilHigh(net::SteadyTime now) const {
  if (this->is_high || this->low_phases.empty() || this->low_since == net::SteadyTime{}) {
    return milliseconds(0);
  }
  const milliseconds shortest = *std::min_element(this->low_phases.begin(), this->low_phases.end());
  const auto passed = std::chrono::duration_cast<milliseconds>(now - this->low_since);
  return std::max(milliseconds(0), shortest - passed);
}

}  // namespace lentilhead::jobs
