#include "framework/latency_histogram.h"

#include <cmath>

namespace lentilhead::framework {

namespace {

constexpr int kBins = 160;
constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 1e3;
// Every eighth edge is rendered; the scrape stays small while quantiles keep the fine bins.
constexpr int kRenderedBinStep = 8;

std::string WithLabel(const std::string& labels, const std::string& extra) {
  return labels.empty() ? "{" + extra + "}" : "{" + labels + "," + extra + "}";
}

}  // namespace

LatencyHistogram::LatencyHistogram() : histogram(Axis(kBins, kLowestSeconds, kHighestSeconds)) {}

void LatencyHistogram::Record(std::chrono::nanoseconds duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  const std::lock_guard lock(this->mutex);
  this->histogram(seconds);
  this->sum_seconds += seconds;
  this->count += 1;
}

std::uint64_t LatencyHistogram::Count() const {
  const std::lock_guard lock(this->mutex);
  return this->count;
}

std::chrono::nanoseconds LatencyHistogram::Quantile(double quantile) const {
  const std::lock_guard lock(this->mutex);
  const auto rank =
      static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(this->count)));
  std::uint64_t seen = 0;
  double edge = 0;
  for (int bin = -1; bin <= kBins; ++bin) {
    seen += this->histogram.at(bin);
    edge = this->histogram.axis().value(std::min(bin + 1, kBins));
    if (seen >= rank && seen > 0) {
      break;
    }
  }
  return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(edge));
}

void LatencyHistogram::RenderTo(std::string& text, const std::string& name,
                                const std::string& labels) const {
  const std::lock_guard lock(this->mutex);
  std::uint64_t seen = this->histogram.at(-1);
  for (int bin = 0; bin < kBins; ++bin) {
    seen += this->histogram.at(bin);
    if ((bin + 1) % kRenderedBinStep != 0) {
      continue;
    }
    const std::string edge = std::to_string(this->histogram.axis().value(bin + 1));
    text.append(name).append("_bucket").append(WithLabel(labels, "le=\"" + edge + "\""));
    text.append(" ").append(std::to_string(seen)).append("\n");
  }
  text.append(name).append("_bucket").append(WithLabel(labels, "le=\"+Inf\""));
  text.append(" ").append(std::to_string(this->count)).append("\n");
  const std::string suffix = labels.empty() ? "" : "{" + labels + "}";
  text.append(name).append("_sum").append(suffix).append(" ");
  text.append(std::to_string(this->sum_seconds)).append("\n");
  text.append(name).append("_count").append(suffix).append(" ");
  text.append(std::to_string(this->count)).append("\n");
}

}  // namespace lentilhead::framework
