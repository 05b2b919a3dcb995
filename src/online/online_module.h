#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_directory.h"
#include "endpoint/endpoint_settings.h"
#include "framework/http_client.h"
#include "framework/http_router.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"
#include "online/caller_registry.h"
#include "online/online_settings.h"
#include "online/types/readiness.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::online {

/// Serves the online requests of one worker: the routes of models, plain services and health.
class OnlineModule {
 public:
  /// Objects of the worker that the module uses; all must outlive it.
  struct Dependencies {
    const endpoint::EndpointSettings& services;
    endpoint::EndpointDirectory& directory;
    framework::HttpClient& http;
    framework::TimerService& timers;
    framework::Metrics& metrics;
    datastore::TableClient& table;
    datastore::ResolvedWriter& writer;
    const sheet::SheetInForce& sheet;
  };

  OnlineModule(OnlineSettings settings, Dependencies dependencies);
  OnlineModule(const OnlineModule&) = delete;
  OnlineModule& operator=(const OnlineModule&) = delete;
  ~OnlineModule();

  /// Adds the routes; this object must outlive the router.
  void RegisterRoutes(framework::HttpRouter& router);

  /// Replaces the callers after their settings changed.
  void SetCallers(std::shared_ptr<const CallerRegistry> callers);

  /// Sets the readiness that `/health` reports.
  void SetReadiness(Readiness readiness);

  /// Authenticates the caller of a request to a route of another module.
  /// @return the caller's name, or no value if the exchange has been answered with an error.
  std::optional<std::string> Authenticate(const std::shared_ptr<framework::HttpExchange>& exchange);

  /// Requests whose answers have not been written yet.
  [[nodiscard]] std::size_t OpenRequests() const;

  /// Ends every open request with a typed error. @return their number.
  std::size_t AbortAll();

  /// Sets a handler that is called whenever the last open request has ended.
  void OnIdle(std::function<void()> handler);

 private:
  class State;

  std::unique_ptr<State> state;
};

}  // namespace lentilhead::online
