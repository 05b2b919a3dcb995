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

/// What this process knows of the endpoints, and the choice among them.
///
/// A plain state machine: every time is passed in, and random choices come from a seed.
class EndpointTable {
 public:
  EndpointTable(const EndpointSettings& settings, std::string instance_name, std::string zone,
                std::uint64_t seed);

  /// Takes a read of the platform's list. @return true if an endpoint appeared or left.
  bool OnList(const std::string& service, const std::vector<datastore::ListedInstance>& listed);

  /// Takes a load report that was asked for at a time.
  void OnReport(const std::string& endpoint, LoadReport report, framework::MonotonicTime asked_at);

  /// Notes that an endpoint did not answer when it was asked for its report.
  void OnReportFailed(const std::string& endpoint, framework::MonotonicTime now);

  void SetDrained(const std::set<std::string>& endpoints);
  void Watch(const std::string& endpoint) { this->watchers[endpoint] += 1; }
  void Unwatch(const std::string& endpoint);

  void OnAttemptStarted(const std::string& endpoint, framework::MonotonicTime now);
  void OnAttemptEnded(const std::string& endpoint, AttemptEnd end, framework::MonotonicTime now);
  void OnFirstByte(const std::string& endpoint, std::chrono::nanoseconds latency);

  /// Chooses an endpoint; no value if none may be sent to. An ejected one is chosen only if there
  /// is no other.
  [[nodiscard]] std::optional<EndpointInfo> Choose(const RouteRequest& request,
                                                   framework::MonotonicTime now);

  /// True if nothing that is known speaks against sending new work.
  [[nodiscard]] bool CanSend(const std::string& endpoint, framework::MonotonicTime now) const;
  [[nodiscard]] bool CanSend(const std::string& endpoint, const RouteRequest& request,
                             framework::MonotonicTime now) const;

  /// Endpoints whose load is watched: the subsets and those with watchers.
  [[nodiscard]] std::vector<EndpointInfo> Watched() const;

  [[nodiscard]] std::vector<EndpointInfo> EndpointsOf(const std::string& service) const;
  [[nodiscard]] const EndpointRecord* Find(const std::string& endpoint) const;

  /// Slots of a service in the subset that may be sent to, and the requests estimated to use them.
  struct Load {
    int slots = 0;
    int used = 0;
    int endpoints = 0;
  };
  [[nodiscard]] Load LoadOf(const std::string& service, framework::MonotonicTime now) const;

  /// Ejected endpoints of a service.
  [[nodiscard]] int EjectedOf(const std::string& service) const;

  [[nodiscard]] std::uint64_t Ejections() const { return this->ejections; }

 private:
  struct Service {
    RoutingPolicy policy;
    double turn = 0;                       ///< Turn of the endpoint that was chosen last.
    std::vector<EndpointRecord*> records;  ///< Listed ones, sorted by name.
    std::vector<EndpointRecord*> subset;   ///< Sorted by name.
  };

  EndpointRecord* FindMutable(const std::string& endpoint);
  void Rebuild(const std::string& service_name, Service& service);
  void ForgetUnlisted();
  void EjectIfOutlier(EndpointRecord& record, framework::MonotonicTime now);
  void TrimEjections(Service& service) const;
  [[nodiscard]] bool MayEject(const Service& service, std::size_t count) const;
  [[nodiscard]] static double FailureShareOfPeers(const Service& service,
                                                  const EndpointRecord& record);
  [[nodiscard]] static bool IsAvailable(const EndpointRecord& record, framework::MonotonicTime now);
  [[nodiscard]] static bool IsAdmitted(const EndpointRecord& record, framework::MonotonicTime now);
  static void TakeTurn(Service& service, const Candidate& candidate, EndpointRecord& record);
  [[nodiscard]] Candidate CandidateOf(const EndpointRecord& record) const;
  const EndpointRecord* ChooseFrom(Service& service, const std::vector<EndpointRecord*>& scope,
                                   const RouteRequest& request, bool takes_ejected,
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
