#pragma once

#include <memory>
#include <optional>
#include <string>

#include "framework/http_exchange.h"
#include "framework/timer_service.h"
#include "online/caller_registry.h"
#include "online/internal/online_metrics.h"
#include "online/online_settings.h"

namespace lentilhead::online::internal {

/// Who sent a request, and until when it is worth answering.
struct RequestContext {
  std::shared_ptr<framework::HttpExchange> exchange;
  std::shared_ptr<const Caller> caller;
  std::string request_id;
  framework::MonotonicTime deadline;
};

/// First checks of every request: key, request id and deadline.
class RequestValidator {
 public:
  RequestValidator(const OnlineSettings& settings, framework::TimerService& timers,
                   OnlineMetrics& metrics);

  void SetCallers(std::shared_ptr<const CallerRegistry> registry);

  /// From now on, answers ask the callers to close their connections.
  void SetLeaving(bool is_leaving) { this->leaving = is_leaving; }

  /// Checks a request. @return no value after the exchange has been answered with an error.
  std::optional<RequestContext> Validate(const std::shared_ptr<framework::HttpExchange>& exchange);

 private:
  const OnlineSettings& settings;
  framework::TimerService& timers;
  OnlineMetrics& metrics;
  std::shared_ptr<const CallerRegistry> callers;
  bool leaving = false;
};

}  // namespace lentilhead::online::internal
