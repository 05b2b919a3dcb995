#include "framework/metrics.h"

#include <nlohmann/json.hpp>

namespace lentilhead::framework {

namespace {

template <class Metric, class Key>
Metric& FindOrCreate(std::mutex& mutex, std::map<Key, std::unique_ptr<Metric>>& metrics,
                     const Key& key) {
  const std::lock_guard lock(mutex);
  std::unique_ptr<Metric>& metric = metrics[key];
  if (!metric) {
    metric = std::make_unique<Metric>();
  }
  return *metric;
}

std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text.append(text.empty() ? "" : ",").append(name).append("=");
    text.append(
        nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  return text;
}

}  // namespace

Counter& Metrics::GetCounter(const std::string& name, const MetricLabels& labels) {
  return FindOrCreate(this->mutex, this->counters, Key{name, labels});
}

Gauge& Metrics::GetGauge(const std::string& name, const MetricLabels& labels) {
  return FindOrCreate(this->mutex, this->gauges, Key{name, labels});
}

LatencyHistogram& Metrics::GetLatency(const std::string& name, const MetricLabels& labels) {
  return FindOrCreate(this->mutex, this->latencies, Key{name, labels});
}

void Metrics::Describe(const std::string& name, const std::string& help) {
  const std::lock_guard lock(this->mutex);
  this->help[name] = help;
}

void Metrics::RenderHead(std::string& text, const std::string& name, const char* type) const {
  if (const auto found = this->help.find(name); found != this->help.end()) {
    text.append("# HELP ").append(name).append(" ").append(found->second).append("\n");
  }
  text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

template <class Metric>
void Metrics::RenderLevels(std::string& text, const char* type,
                           const std::map<Key, std::unique_ptr<Metric>>& metrics) const {
  std::string last_name;
  for (const auto& [key, metric] : metrics) {
    if (key.first != last_name) {
      this->RenderHead(text, key.first, type);
      last_name = key.first;
    }
    const std::string labels = RenderLabels(key.second);
    text.append(key.first).append(labels.empty() ? "" : "{" + labels + "}").append(" ");
    text.append(std::to_string(metric->Value())).append("\n");
  }
}

std::string Metrics::Render() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  this->RenderLevels(text, "counter", this->counters);
  this->RenderLevels(text, "gauge", this->gauges);
  std::string last_name;
  for (const auto& [key, latency] : this->latencies) {
    if (key.first != last_name) {
      this->RenderHead(text, key.first, "histogram");
      last_name = key.first;
    }
    latency->RenderTo(text, key.first, RenderLabels(key.second));
  }
  return text;
}

}  // namespace lentilhead::framework
