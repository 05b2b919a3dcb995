#pragma once

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace lentilhead::framework {

/// Histogram of durations with logarithmic bins from 10 microseconds to 1,000 seconds. Thread safe.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Adds one duration.
  void Record(std::chrono::nanoseconds duration);

  [[nodiscard]] std::uint64_t Count() const;

  /// Returns the upper edge of the bin that holds the quantile.
  /// @param quantile from 0 to 1.
  [[nodiscard]] std::chrono::nanoseconds Quantile(double quantile) const;

  /// Appends the Prometheus bucket, sum and count lines.
  void RenderTo(std::string& text, const std::string& name, const std::string& labels) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  mutable std::mutex mutex;
  Histogram histogram;
  double sum_seconds = 0;
  std::uint64_t count = 0;
};

}  // namespace lentilhead::framework
