#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "datastore/instance_list_client.h"
#include "endpoint/endpoint_settings.h"
#include "endpoint/types/attempt_end.h"
#include "endpoint/types/endpoint_info.h"
#include "endpoint/types/load_report.h"
#include "endpoint/types/route_request.h"
#include "framework/http_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::endpoint {

/// Lists the endpoints of every service and chooses one for each attempt.
///
/// The directory reads the platform's list, polls the load reports of a bounded subset of
/// endpoints, counts its own attempts in flight and ejects outliers. It stops sending new work to
/// an endpoint at the first sign of draining: from the list, an operator, a load report or a
/// refusal.
class EndpointDirectory {
 public:
  /// @param instance_name name of this instance, which selects the subset.
  /// @param zone availability zone of this instance, preferred in the subset.
  EndpointDirectory(const EndpointSettings& settings, std::string instance_name, std::string zone,
                    datastore::InstanceListClient& list, framework::HttpClient& http,
                    framework::TimerService& timers, framework::Metrics& metrics);
  EndpointDirectory(const EndpointDirectory&) = delete;
  EndpointDirectory& operator=(const EndpointDirectory&) = delete;
  ~EndpointDirectory();

  /// Starts reading the list and polling the load reports.
  void Start();

  /// Chooses an endpoint for a request. @return no value if no endpoint takes the request.
  [[nodiscard]] std::optional<EndpointInfo> Choose(const RouteRequest& request);

  /// Returns true if an endpoint still takes new work. To be called right before a send, since the
  /// endpoint may have started draining after it was chosen.
  [[nodiscard]] bool CanSend(const std::string& endpoint) const;

  /// Like CanSend() above, and checks that the endpoint still matches the request's service, model,
  /// version, adapter, role and availability zones.
  [[nodiscard]] bool CanSend(const std::string& endpoint, const RouteRequest& request) const;

  /// Adds an attempt to the endpoint's attempts in flight.
  void OnAttemptStarted(const std::string& endpoint);

  /// Removes an attempt from the attempts in flight and counts its end for outlier detection.
  void OnAttemptEnded(const std::string& endpoint, AttemptEnd end);

  /// Records the time from the start of an attempt to the first byte of its answer.
  void OnFirstByte(const std::string& endpoint, std::chrono::nanoseconds latency);

  /// Replaces the set of endpoints that operators drain.
  void SetDrained(const std::set<std::string>& endpoints);

  /// Returns the endpoints of a service that the platform lists, including those listed as leaving.
  [[nodiscard]] std::vector<EndpointInfo> EndpointsOf(const std::string& service) const;

  /// Returns the last load report of an endpoint; no value if it is not polled or has not reported.
  [[nodiscard]] std::optional<LoadReport> ReportOf(const std::string& endpoint) const;

  /// Polls the load reports of an endpoint even if it is outside the subset, until a matching
  /// Unwatch().
  void Watch(const std::string& endpoint);
  void Unwatch(const std::string& endpoint);

  /// Capacity and use of those endpoints in a service's subset that take new work.
  struct ServiceLoad {
    int slots = 0;
    int used = 0;  ///< Estimated requests at these endpoints, including those that wait.
    int endpoints = 0;
  };
  [[nodiscard]] ServiceLoad LoadOf(const std::string& service) const;

  /// Adds a handler that is called after each change of the list and after each load report,
  /// received or failed.
  void OnChange(std::function<void()> handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::endpoint
