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

/// A validated request with its caller and deadline.
struct RequestContext {
  std::shared_ptr<framework::HttpExchange> exchange;
  std::shared_ptr<const Caller> caller;
  std::string request_id;
  framework::MonotonicTime deadline;
};

/// Authenticates the caller of every request and determines its request id and deadline.
class RequestValidator {
 public:
  RequestValidator(const OnlineSettings& settings, framework::TimerService& timers,
                   OnlineMetrics& metrics);

  void SetCallers(std::shared_ptr<const CallerRegistry> registry);

  /// Sets whether answers carry `Connection: close`, because the instance is shutting down.
  void SetLeaving(bool is_leaving) { this->leaving = is_leaving; }

  /// Validates a request. @return no value if the exchange has been answered with an error.
  std::optional<RequestContext> Validate(const std::shared_ptr<framework::HttpExchange>& exchange);

 private:
  const OnlineSettings& settings;
  framework::TimerService& timers;
  OnlineMetrics& metrics;
  std::shared_ptr<const CallerRegistry> callers;
  bool leaving = false;
};

}  // namespace lentilhead::online::internal
