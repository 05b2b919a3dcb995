#pragma once

#include <string>

#include "gateway/gateway.h"
#include "gateway/types/choice_request.h"
#include "placement/types/cost_query.h"

namespace lentilhead::gateway::internal {

/// Follows the work of one request or item over its attempts, and learns from it. Does nothing
/// while the service is placed by counts.
class WorkMeter {
 public:
  /// @param units_before units of work that earlier runs of the request have done.
  WorkMeter(Gateway& gateway, std::string service, placement::CostQuery query,
            double units_before = 0);

  /// Sets the expected cost and the memory of an endpoint in a choice.
  /// @param memory tokens that an endpoint can hold; 0 if not known.
  void AddTo(ChoiceRequest& choice, double memory, net::SteadyTime now);

  /// Records that an attempt is sent, and logs what was expected of the endpoint.
  void RecordSent(const EndpointLease& lease, const std::string& request, net::SteadyTime now);

  /// Records events of a stream.
  void RecordEvents(const EndpointLease& lease, std::size_t events, net::SteadyTime now);

  /// Records the whole answer of a plain request.
  void RecordAnswer(const EndpointLease& lease, net::SteadyTime now);

  /// Records the end of the request. @param is_complete it ended by itself.
  void RecordEnd(const std::string& request, bool is_complete, net::SteadyTime now);

 private:
  [[nodiscard]] bool IsOn() const { return this->gateway.registry.IsPlacedByWork(this->service); }
  [[nodiscard]] placement::ServicePace& Pace() const {
    return this->gateway.registry.PaceOf(this->service);
  }

  Gateway& gateway;
  std::string service;
  placement::CostQuery query;
  placement::RequestCost cost;
  double memory = 0;
  double units = 0;  ///< done, in all attempts
  bool had_free_slot = false;
  double predicted_first_ms = 0;
  double unread = 0;  ///< tokens that the endpoint was not expected to hold
  net::SteadyTime sent_at;
  net::SteadyTime last_arrival;  ///< of events of this attempt
};

}  // namespace lentilhead::gateway::internal
