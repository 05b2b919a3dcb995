#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "datastore/instance_list_client.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_settings.h"
#include "fleet/fleet_module.h"
#include "framework/http_client.h"
#include "framework/http_exchange.h"
#include "framework/http_router.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"
#include "sheet/sheet_in_force.h"
#include "sheet/sheet_store.h"

namespace lentilhead::control {

/// HTTP API for operators: sheets, instances, endpoints, roll-outs and drains.
class OperatorApi {
 public:
  /// Returns the operator's name, or answers the exchange with status 401 and returns no value.
  using Authenticator = std::function<std::optional<std::string>(framework::HttpExchange&)>;

  /// Objects that the API uses; all must outlive it.
  struct Dependencies {
    framework::HttpClient& http;
    framework::TimerService& timers;
    framework::Metrics& metrics;
    datastore::TableClient& table;
    datastore::InstanceListClient& list;
    sheet::SheetStore& sheets;
    sheet::SheetInForce& sheet;
    fleet::FleetModule& fleet;
  };

  /// @param endpoints services whose endpoints the API lists.
  OperatorApi(const endpoint::EndpointSettings& endpoints, Dependencies dependencies);
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;
  ~OperatorApi();

  /// Adds the routes under `/v1/`.
  void RegisterRoutes(framework::HttpRouter& router, Authenticator authenticator);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::control
