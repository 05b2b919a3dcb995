#include "online/internal/online_metrics.h"

namespace lentilhead::online::internal {

OnlineMetrics::OnlineMetrics(framework::Metrics& metrics)
    : late_bytes(metrics.GetCounter("online_late_bytes_total")),
      callers_disconnected(metrics.GetCounter("online_callers_gone_total")),
      replayed(metrics.GetCounter("online_replayed_answers_total")),
      aborted_by_shutdown(metrics.GetCounter("online_cut_by_shutdown_total")),
      running(metrics.GetGauge("online_running")),
      queued(metrics.GetGauge("online_queued")),
      metrics(metrics) {}

void OnlineMetrics::CountRefusal(const Refusal& refusal) {
  this->metrics
      .GetCounter("online_refusals_total",
                  {{"reason", NameOf(refusal.reason)}, {"outcome", NameOf(refusal.outcome)}})
      .Add();
}

void OnlineMetrics::CountRetry(RetryReason reason) {
  this->metrics.GetCounter("online_retries_total", {{"reason", NameOf(reason)}}).Add();
}

void OnlineMetrics::CountFailedStream(const Refusal& refusal) {
  this->metrics.GetCounter("online_cut_streams_total", {{"reason", NameOf(refusal.reason)}}).Add();
}

void OnlineMetrics::CountCompleted(const std::string& service) {
  this->MetricsOf(service).completed.Add();
}

void OnlineMetrics::RecordFirstByte(const std::string& service, std::chrono::nanoseconds duration) {
  this->MetricsOf(service).first_byte.Record(duration);
}

OnlineMetrics::ServiceMetrics& OnlineMetrics::MetricsOf(const std::string& service) {
  const auto found = this->services.find(service);
  if (found != this->services.end()) {
    return found->second;
  }
  const framework::MetricLabels labels = {{"service", service}};
  const ServiceMetrics created{this->metrics.GetCounter("online_completed_total", labels),
                               this->metrics.GetLatency("online_first_byte_seconds", labels)};
  return this->services.emplace(service, created).first->second;
}

}  // namespace lentilhead::online::internal
