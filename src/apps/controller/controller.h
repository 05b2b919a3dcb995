#pragma once

#include <functional>
#include <memory>

#include "apps/common/instance_settings.h"
#include "control/control_module.h"
#include "datastore/instance_list_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "fleet/fleet_follower.h"
#include "framework/http_client.h"
#include "framework/http_router.h"
#include "framework/http_server.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::apps {

/// The modules of lentilhead-controller, all on the main thread.
class Controller {
 public:
  explicit Controller(const InstanceSettings& settings);

  /// Starts the listener and the control module. @return false if the listener failed, which is
  /// logged.
  [[nodiscard]] bool Start();

  /// Waits for the orders in flight and releases the lease. @param done called once at the end.
  void Leave(std::function<void()> done);

 private:
  void RegisterRoutes();

  InstanceSettings settings;
  std::unique_ptr<framework::TimerService> timers;
  framework::Metrics metrics;
  framework::HttpRouter router;
  framework::HttpServer server;
  framework::HttpClient http;
  datastore::TableClient table;
  datastore::WriteBudget budget;
  datastore::ResolvedWriter writer;
  datastore::InstanceListClient list;
  sheet::SheetInForce sheet;
  fleet::FleetFollower follower;
  control::ControlModule module;
};

}  // namespace lentilhead::apps
