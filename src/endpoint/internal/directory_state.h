#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "datastore/instance_list_client.h"
#include "endpoint/endpoint_directory.h"
#include "endpoint/internal/endpoint_table.h"
#include "framework/http_call.h"
#include "framework/http_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::endpoint {

/// Reads the platform's list and the endpoints' load reports into the endpoint table.
class EndpointDirectory::State : public std::enable_shared_from_this<EndpointDirectory::State> {
 public:
  State(const EndpointSettings& settings, std::string instance_name, std::string zone,
        std::uint64_t seed, datastore::InstanceListClient& list, framework::HttpClient& http,
        framework::TimerService& timers, framework::Metrics& metrics);

  void Start();

  /// Cancels every timer and request.
  void Stop();

  void NotifyChange();
  void CountEnd(AttemptEnd end);

  [[nodiscard]] framework::MonotonicTime Now() const { return this->timers.Now(); }

  internal::EndpointTable table;
  std::vector<std::function<void()>> handlers;

 private:
  void FetchLists();
  void FetchList(const std::string& service);
  void PollReports();
  void PollReport(const EndpointInfo& endpoint);
  void OnReport(const EndpointInfo& endpoint, framework::MonotonicTime requested_at,
                framework::Reply<framework::HttpResponse, framework::HttpFailure> reply);
  void UpdateGauges();

  EndpointSettings settings;
  datastore::InstanceListClient& list;
  framework::HttpClient& http;
  framework::TimerService& timers;
  framework::Metrics& metrics;
  framework::Counter& reports;
  framework::Counter& failed_reports;
  framework::Counter& failed_lists;
  framework::TimerSubscription list_timer;
  framework::TimerSubscription report_timer;
  std::map<std::string, framework::HttpCall> report_calls;  ///< At most one per endpoint.
  std::map<std::string, framework::MonotonicTime> next_report_at;
  std::set<std::string> list_reads;  ///< Services whose list is being fetched.
};

}  // namespace lentilhead::endpoint
