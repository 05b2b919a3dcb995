#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "datastore/types/listed_instance.h"
#include "endpoint/endpoint_settings.h"
#include "endpoint/internal/endpoint_record.h"
#include "endpoint/internal/routing_policy.h"
#include "endpoint/types/route_request.h"

namespace lentilhead::endpoint::internal {

/// State of all endpoints and the choice among them.
///
/// A deterministic state machine: the caller passes in the time, and random choices come from a
/// seed.
class EndpointTable {
 public:
  EndpointTable(const EndpointSettings& settings, std::string instance_name, std::string zone,
                std::uint64_t seed);

  /// Applies the platform's list of a service. @return true if an endpoint was added, removed or
  /// replaced, or started or stopped leaving.
  bool OnList(const std::string& service, const std::vector<datastore::ListedInstance>& listed);

  /// Applies a load report. @param requested_at time at which the report was requested.
  void OnReport(const std::string& endpoint, LoadReport report,
                framework::MonotonicTime requested_at);

  /// Counts a request for a load report that failed or got an invalid answer.
  void OnReportFailed(const std::string& endpoint, framework::MonotonicTime now);

  void SetDrained(const std::set<std::string>& endpoints);
  void Watch(const std::string& endpoint) { this->watchers[endpoint] += 1; }
  void Unwatch(const std::string& endpoint);

  void OnAttemptStarted(const std::string& endpoint, framework::MonotonicTime now);
  void OnAttemptEnded(const std::string& endpoint, AttemptEnd end, framework::MonotonicTime now);
  void OnFirstByte(const std::string& endpoint, std::chrono::nanoseconds latency);

  /// Chooses an endpoint for a request. An ejected endpoint is chosen only if there is no other.
  /// @return no value if no endpoint takes the request.
  [[nodiscard]] std::optional<EndpointInfo> Choose(const RouteRequest& request,
                                                   framework::MonotonicTime now);

  /// True if the endpoint is listed and no sign of draining has been received; with a request, also
  /// if the endpoint matches it or has not reported yet. Ejection is not considered.
  [[nodiscard]] bool CanSend(const std::string& endpoint, framework::MonotonicTime now) const;
  [[nodiscard]] bool CanSend(const std::string& endpoint, const RouteRequest& request,
                             framework::MonotonicTime now) const;

  /// Returns the endpoints whose load reports are polled: the subsets and those with watchers.
  [[nodiscard]] std::vector<EndpointInfo> Watched() const;

  [[nodiscard]] std::vector<EndpointInfo> EndpointsOf(const std::string& service) const;
  [[nodiscard]] const EndpointRecord* Find(const std::string& endpoint) const;

  /// Capacity and use of those endpoints in a service's subset that take new work.
  struct Load {
    int slots = 0;
    int used = 0;  ///< Estimated requests at these endpoints, including those that wait.
    int endpoints = 0;
  };
  [[nodiscard]] Load LoadOf(const std::string& service, framework::MonotonicTime now) const;

  /// Returns the number of ejected endpoints of a service.
  [[nodiscard]] int EjectedOf(const std::string& service) const;

  [[nodiscard]] std::uint64_t Ejections() const { return this->ejections; }

 private:
  struct Service {
    RoutingPolicy policy;
    double round_position = 0;             ///< Position of the endpoint that was chosen last.
    std::vector<EndpointRecord*> records;  ///< Listed endpoints, sorted by name.
    std::vector<EndpointRecord*> subset;   ///< Sorted by name.
  };

  EndpointRecord* FindMutable(const std::string& endpoint);
  void Rebuild(const std::string& service_name, Service& service);
  void RemoveUnlisted();
  void EjectIfOutlier(EndpointRecord& record, framework::MonotonicTime now);
  void TrimEjections(Service& service) const;
  [[nodiscard]] bool MayEject(const Service& service, std::size_t count) const;
  [[nodiscard]] static double FailureRateOfPeers(const Service& service,
                                                 const EndpointRecord& record);
  [[nodiscard]] static bool IsAvailable(const EndpointRecord& record, framework::MonotonicTime now);
  [[nodiscard]] static bool IsAdmitted(const EndpointRecord& record, framework::MonotonicTime now);
  static void AdvanceRound(Service& service, const Candidate& candidate, EndpointRecord& record);
  [[nodiscard]] Candidate CandidateOf(const EndpointRecord& record) const;
  const EndpointRecord* ChooseFrom(Service& service, const std::vector<EndpointRecord*>& scope,
                                   const RouteRequest& request, bool include_ejected,
                                   framework::MonotonicTime now);

  EndpointSettings settings;
  std::string instance_name;
  std::string zone;
  std::mt19937_64 random;
  std::map<std::string, Service> services;
  std::unordered_map<std::string, EndpointRecord> records;
  std::set<std::string> drained;
  std::map<std::string, int> watchers;
  std::uint64_t ejections = 0;
  std::vector<Candidate> candidates;               ///< Scratch space of ChooseFrom().
  std::vector<EndpointRecord*> candidate_records;  ///< Scratch space of ChooseFrom().
};

}  // namespace lentilhead::endpoint::internal
