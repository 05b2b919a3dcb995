#pragma once

#include <memory>

#include "framework/http_router.h"
#include "framework/timer_subscription.h"
#include "standin/engine/internal/engine_core.h"

namespace lentilhead::standin {

/// HTTP routes of an engine for its reports, the control orders and injected faults.
class EngineAdmin {
 public:
  explicit EngineAdmin(std::shared_ptr<EngineCore> core);

  /// Registers the routes. This object must outlive the router.
  void Register(framework::HttpRouter& router);

 private:
  using Exchange = std::shared_ptr<framework::HttpExchange>;

  void ListModels(const Exchange& exchange);
  void ReportState(const Exchange& exchange);
  void Load(const Exchange& exchange);
  void SetDraining(const Exchange& exchange, bool draining);
  void SetFaults(const Exchange& exchange);
  void ReportCacheEvents(const Exchange& exchange);
  void ExportCache(const Exchange& exchange);
  void ImportCache(const Exchange& exchange);

  std::shared_ptr<EngineCore> core;
  framework::TimerSubscription load_timer;
};

}  // namespace lentilhead::standin
