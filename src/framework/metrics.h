#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "framework/counter.h"
#include "framework/gauge.h"
#include "framework/latency_histogram.h"
#include "framework/types/metric_labels.h"

namespace lentilhead::framework {

/// Registry of the metrics of one process, rendered in the Prometheus text format.
///
/// Lookups are thread safe and return references that live as long as the registry; callers on a
/// hot path keep the reference.
class Metrics {
 public:
  /// Returns the counter of a name and labels, creating it at zero.
  Counter& GetCounter(const std::string& name, const MetricLabels& labels = {});

  /// Returns the gauge of a name and labels, creating it at zero.
  Gauge& GetGauge(const std::string& name, const MetricLabels& labels = {});

  /// Returns the latency histogram of a name and labels; its unit is seconds.
  LatencyHistogram& GetLatency(const std::string& name, const MetricLabels& labels = {});

  /// Sets the help text of all metrics of a name; the text states the unit.
  void Describe(const std::string& name, const std::string& help);

  /// Renders every metric.
  [[nodiscard]] std::string Render() const;

 private:
  using Key = std::pair<std::string, MetricLabels>;

  void RenderHead(std::string& text, const std::string& name, const char* type) const;

  template <class Metric>
  void RenderLevels(std::string& text, const char* type,
                    const std::map<Key, std::unique_ptr<Metric>>& metrics) const;

  mutable std::mutex mutex;
  std::map<std::string, std::string> help;
  std::map<Key, std::unique_ptr<Counter>> counters;
  std::map<Key, std::unique_ptr<Gauge>> gauges;
  std::map<Key, std::unique_ptr<LatencyHistogram>> latencies;
};

}  // namespace lentilhead::framework
