#pragma once

#include <map>
#include <string>

#include "framework/metrics.h"
#include "online/internal/attempt_effects.h"
#include "online/types/refusal.h"

namespace lentilhead::online::internal {

/// Metrics of online requests.
class OnlineMetrics {
 public:
  explicit OnlineMetrics(framework::Metrics& metrics);

  void CountRefusal(const Refusal& refusal);
  void CountRetry(RetryReason reason);
  void CountFailedStream(const Refusal& refusal);
  void CountCompleted(const std::string& service);
  void RecordFirstByte(const std::string& service, std::chrono::nanoseconds duration);

  framework::Counter& late_bytes;
  framework::Counter& callers_disconnected;
  framework::Counter& replayed;
  framework::Counter& aborted_by_shutdown;
  framework::Gauge& running;
  framework::Gauge& queued;

 private:
  struct ServiceMetrics {
    framework::Counter& completed;
    framework::LatencyHistogram& first_byte;
  };
  ServiceMetrics& MetricsOf(const std::string& service);

  framework::Metrics& metrics;
  std::map<std::string, ServiceMetrics> services;
};

}  // namespace lentilhead::online::internal
