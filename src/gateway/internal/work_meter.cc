#include "gateway/internal/work_meter.h"

#include <algorithm>

#include "net/log_line.h"

namespace lentilhead::gateway::internal {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

}  // namespace

WorkMeter::WorkMeter(Gateway& gateway, std::string service, placement::CostQuery query,
                     double units_before)
    : gateway(gateway), service(std::move(service)), query(std::move(query)), units(units_before) {}

void WorkMeter::AddTo(ChoiceRequest& choice, double endpoint_memory, net::SteadyTime now) {
  if (!this->IsOn()) {
    return;
  }
  this->cost = this->gateway.costs.Estimate(this->query, now);
  this->cost.units = std::max(1.0, this->cost.units - this->units);
  this->cost.units_high = std::max(this->cost.units, this->cost.units_high - this->units);
  this->memory = endpoint_memory;
  choice.cost = this->cost;
  choice.endpoint_memory = endpoint_memory;
}

void WorkMeter::RecordSent(const EndpointLease& lease, const std::string& request,
                           net::SteadyTime now) {
  this->sent_at = now;
  this->last_arrival = {};
  if (!this->IsOn()) {
    return;
  }
  const EndpointState& endpoint = lease.Endpoint();
  ChoiceRequest choice{this->service};
  choice.cost = this->cost;
  const placement::WorkCandidate expected = this->gateway.registry.Expect(endpoint, choice, now);
  const double held = endpoint.work.Held().Tokens(this->cost.shared);
  this->unread = std::max(0.0, this->cost.prompt_tokens - held);
  // The number in flight includes this request.
  this->had_free_slot = expected.in_flight <= expected.slots;
  this->predicted_first_ms =
      expected.first_ms + expected.turn_ms * std::max(0.0, expected.in_flight - expected.slots);
  net::LogLine("placed_by_work", net::LogImportance::kRoutine)
      .With("request", request)
      .With("endpoint", endpoint.entry.id)
      .With("reason", held > 0              ? "prompt_held"
                      : this->had_free_slot ? "least_time"
                                            : "next_slot")
      .With("expected_first_ms", this->predicted_first_ms)
      .With("expected_units", this->cost.units)
      .With("work_left", endpoint.work.Left())
      .With("in_flight", expected.in_flight)
      .With("unit_ms", endpoint.work.UnitMs(this->Pace(), now))
      .With("slowdown", endpoint.work.Slowdown(now))
      .With("held_tokens", held);
  this->gateway.metrics
      .GetCounter("gateway_placed_by_work_total", {{"reason", held > 0              ? "prompt_held"
                                                              : this->had_free_slot ? "least_time"
                                                                                    : "next_slot"}})
      .Add();
}

void WorkMeter::RecordEvents(const EndpointLease& lease, std::size_t events, net::SteadyTime now) {
  if (!this->IsOn() || events == 0) {
    return;
  }
  placement::EndpointWork& work = lease.Endpoint().work;
  if (this->last_arrival != net::SteadyTime{}) {
    work.RecordUnit((now - this->last_arrival) / static_cast<double>(events), this->Pace(), now);
  } else {
    work.RecordHeld(this->cost.shared, this->memory);
    if (this->had_free_slot) {
      const Milliseconds event(static_cast<double>(events) * work.UnitMs(this->Pace(), now));
      this->Pace().RecordRead(this->unread, now - this->sent_at, event);
    }
  }
  this->last_arrival = now;
  this->units += static_cast<double>(events);
  lease.Advance(this->units);
}

void WorkMeter::RecordAnswer(const EndpointLease& lease, net::SteadyTime now) {
  if (!this->IsOn()) {
    return;
  }
  placement::EndpointWork& work = lease.Endpoint().work;
  const Milliseconds span = now - this->sent_at;
  this->units = span.count() / std::max(0.01, work.UnitMs(this->Pace(), now));
  if (this->had_free_slot) {
    work.RecordUnit(span / std::max(0.1, this->cost.units), this->Pace(), now);
  }
}

void WorkMeter::RecordEnd(const std::string& request, bool is_complete, net::SteadyTime now) {
  if (!this->IsOn() || this->units <= 0) {
    return;
  }
  placement::CostEstimator& costs = this->gateway.costs;
  const double predicted = costs.Estimate(this->query, now).units;
  if (is_complete) {
    costs.RecordEnd(this->query, this->units, now);
    this->Pace().RecordLength(this->units);
  } else {
    costs.RecordCut(this->query, this->units, now);
  }
  net::LogLine("request_cost", net::LogImportance::kRoutine)
      .With("request", request)
      .With("complete", is_complete)
      .With("predicted_units", predicted)
      .With("units", this->units)
      .With("prompt_tokens", this->cost.prompt_tokens)
      .With("expected_first_ms", this->predicted_first_ms);
}

}  // namespace lentilhead::gateway::internal
