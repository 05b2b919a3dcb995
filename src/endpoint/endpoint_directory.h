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

/// The endpoints of every service as this process knows them, and the choice among them.
///
/// It reads the platform's list, polls load reports of a bounded subset, counts its own attempts
/// in flight, ejects outliers, and obeys the earliest sign that an endpoint is leaving.
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

  /// Starts to read the list and the load reports.
  void Start();

  /// Chooses an endpoint. @return no value if none may be sent to.
  [[nodiscard]] std::optional<EndpointInfo> Choose(const RouteRequest& request);

  /// Checks again, right before a send, that an endpoint takes new work.
  [[nodiscard]] bool CanSend(const std::string& endpoint) const;

  /// Checks the endpoint and also that it still serves the request under its model, version,
  /// adapter, role and availability zones.
  [[nodiscard]] bool CanSend(const std::string& endpoint, const RouteRequest& request) const;

  /// Counts an attempt in flight at an endpoint.
  void OnAttemptStarted(const std::string& endpoint);

  /// Ends an attempt and counts it towards the endpoint's health.
  void OnAttemptEnded(const std::string& endpoint, AttemptEnd end);

  /// Notes the time from the start of an attempt to the first byte of its answer.
  void OnFirstByte(const std::string& endpoint, std::chrono::nanoseconds latency);

  /// Sets the endpoints that operators drain.
  void SetDrained(const std::set<std::string>& endpoints);

  /// Endpoints of a service that the platform lists, leaving ones included.
  [[nodiscard]] std::vector<EndpointInfo> EndpointsOf(const std::string& service) const;

  /// Last load report of an endpoint, if it is in the subset and has reported.
  [[nodiscard]] std::optional<LoadReport> ReportOf(const std::string& endpoint) const;

  /// Asks for the reports of an endpoint outside the subset too, as its batch owner does.
  void Watch(const std::string& endpoint);
  void Unwatch(const std::string& endpoint);

  /// Slots of the endpoints of a service that are in the subset and may be sent to, and the
  /// attempts and reported requests that use them.
  struct ServiceLoad {
    int slots = 0;
    int used = 0;
    int endpoints = 0;
  };
  [[nodiscard]] ServiceLoad LoadOf(const std::string& service) const;

  /// Calls back when an endpoint appears, leaves, or reports.
  void OnChange(std::function<void()> handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::endpoint
