#include "framework/metrics.h"

#include <doctest/doctest.h>

namespace lentilhead::framework {

TEST_CASE("metrics render in the Prometheus text format") {
  Metrics metrics;
  metrics.GetCounter("refusals_total", {{"reason", "queue_full"}}).Add(3);
  metrics.GetGauge("streams").Set(2);
  const std::string text = metrics.Render();
  CHECK(text.find("# TYPE refusals_total counter\nrefusals_total{reason=\"queue_full\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("streams 2\n") != std::string::npos);
}

TEST_CASE("a described metric has its help line before its type") {
  Metrics metrics;
  metrics.Describe("wait_seconds", "Time in the queue, in seconds.");
  metrics.GetLatency("wait_seconds").Record(std::chrono::milliseconds(5));
  CHECK(metrics.Render().find("# HELP wait_seconds Time in the queue, in seconds.\n"
                              "# TYPE wait_seconds histogram\n") == 0);
}

TEST_CASE("a quantile lies within one bin of the recorded value") {
  LatencyHistogram histogram;
  for (int sample = 1; sample <= 100; ++sample) {
    histogram.Record(std::chrono::milliseconds(sample));
  }
  const double median = std::chrono::duration<double>(histogram.Quantile(0.5)).count();
  CHECK(median >= 0.050);
  CHECK(median <= 0.050 * 1.13);
  CHECK(histogram.Count() == 100);
}

}  // namespace lentilhead::framework
