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

/// The controller: takes the leader lease and, while it holds it, brings the endpoints to what the
/// sheet wants.
class ControlModule {
 public:
  /// Parts of the task that the module uses; all must outlive it.
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

  /// @param instance_name name of this instance.
  ControlModule(const ControlSettings& settings, const endpoint::EndpointSettings& endpoints,
                std::string instance_name, Dependencies dependencies);
  ControlModule(const ControlModule&) = delete;
  ControlModule& operator=(const ControlModule&) = delete;
  ~ControlModule();

  void Start();

  /// Lets the orders under way end and gives the lease back.
  /// @param done called once when nothing is left to do.
  void Leave(std::function<void()> done);

  /// True while this instance may order.
  [[nodiscard]] bool IsLeader() const;

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::control
