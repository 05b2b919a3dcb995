#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/control_settings.h"
#include "datastore/instance_list_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_settings.h"
#include "fleet/fleet_follower.h"
#include "framework/http_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::control {

/// Controller of the fleet's endpoints. While this instance holds the leader lease, it sends orders
/// until every endpoint serves the model and version that the sheet assigns to it.
class ControlModule {
 public:
  /// Objects that the module uses; all must outlive it.
  struct Dependencies {
    framework::HttpClient& http;
    framework::TimerService& timers;
    framework::Metrics& metrics;
    datastore::TableClient& table;
    datastore::ResolvedWriter& writer;
    datastore::InstanceListClient& list;
    fleet::FleetFollower& fleet;
    sheet::SheetInForce& sheet;
  };

  /// @param endpoints services whose endpoints the controller manages.
  /// @param instance_name name of this instance.
  ControlModule(const ControlSettings& settings, const endpoint::EndpointSettings& endpoints,
                std::string instance_name, Dependencies dependencies);
  ControlModule(const ControlModule&) = delete;
  ControlModule& operator=(const ControlModule&) = delete;
  ~ControlModule();

  void Start();

  /// Waits for the orders in flight to end, then releases the lease.
  /// @param done called once, after the attempt to release the lease or if the lease is not held.
  void Leave(std::function<void()> done);

  /// True while this instance may send orders to endpoints.
  [[nodiscard]] bool IsLeader() const;

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::control
