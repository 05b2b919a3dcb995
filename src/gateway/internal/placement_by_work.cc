#include <algorithm>
#include <limits>

#include "gateway/endpoint_registry.h"
#include "placement/work_placement.h"

namespace lentilhead::gateway {

namespace {

// Requests beyond the slots that an endpoint's queue may hold, as for placement by counts: the
// nodes decide on the order of what waits. With 6, on a played day of trade supply 132 of 2,000
// requests were late in a burst where 57 were late by counts.
constexpr double kQueued = 1;
// A wait for a slot costs more than the mean wait: the time until a slot is free varies widely.
constexpr double kWaitWeight = 4;
// Half of the width in which the number of requests in flight is known, at the endpoints of other
// nodes' shares and at those of the own share, which few other nodes choose.
constexpr double kSlack = 3;
constexpr double kOwnSlack = 1;
// Endpoints of the own share are preferred to others that are faster by up to this. With 100 ms the
// mean at little load was 37 ms where 34 ms were reached; with 10 ms, more requests were late in
// bursts.
constexpr double kShareToleranceMs = 30;
// A report younger than this replaces the counts of peers, which are older on average and include
// requests that have ended since; the larger of both overestimates the load. With 400 ms there were
// a quarter more preemptions in bursts beside batch work.
constexpr std::chrono::milliseconds kReportPreferred{150};
// Time until a slot is free after a batch request there is preempted, mostly a message to a peer.
constexpr double kPreemptionMs = 60;
// Part of a request's mean length that is left while it is in flight.
constexpr double kLeftOfUsual = 0.5;
// The work left is known only roughly: it counts together with that of so many usual requests.
constexpr double kUsualRequests = 8;
// Batch requests at an endpoint that are expected to yield at once to online ones.
constexpr int kMaxPreempted = 3;
// Share of the time after the first event that counts in the choice: it takes a slot from others.
constexpr double kRestWeight = 0.05;
// Batch items have no objective for their first event.
constexpr double kBatchRestWeight = 1;
// The tokens in use are estimated roughly, and the engine preempts or crashes beyond its memory.
constexpr double kEstimatedShare = 0.85;
constexpr double kZoneAdvantageMs = 1;  // only breaks ties in favour of the own zone
constexpr int kBatchHeadroom = 1;

}  // namespace

bool EndpointRegistry::IsPlacedByWork(const std::string& service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() && found->second.is_placed_by_work;
}

void EndpointRegistry::RecordLoad(EndpointState& state, const ReportedLoad& load,
                                  net::SteadyTime now) {
  EndpointFeedback::RecordLoad(state, load, now);
  if (load.slowdown) {
    this->services[state.entry.service].is_placed_by_work = true;
    state.work.RecordSlowdown(*load.slowdown, now);
  }
}

EndpointLoad EndpointRegistry::WithWork(EndpointLoad load, net::SteadyTime now) {
  const auto found = this->by_key.find(load.endpoint_key);
  if (found == this->by_key.end()) {
    return load;
  }
  EndpointState& state = *found->second;
  ServiceWork& service = this->services[state.entry.service];
  if (!load.work) {
    // Requests that are in flight have done half of their work on average.
    load.work.emplace();
    load.work->units = kLeftOfUsual * (load.online + load.batch) * service.pace.MeanUnits();
    return load;
  }
  service.is_placed_by_work = service.is_placed_by_work || load.work->slowdown.has_value();
  state.work.LearnFromPeer(*load.work, now);
  return load;
}

void EndpointRegistry::AddPeerLoad(EndpointState& state, const EndpointLoad& load, int sign) {
  state.peer_online += sign * load.online;
  state.peer_batch += sign * load.batch;
  if (load.work) {
    state.work.AddPeer(*load.work, sign);
  }
}

double EndpointRegistry::EstimatedInFlight(const EndpointState& state, net::SteadyTime now) {
  if (state.reported && now - state.reported_at < kReportPreferred) {
    const int others = state.reported->running + state.reported->waiting - state.own_at_report;
    return state.OwnTotal() + std::max(0, others);
  }
  return EstimatedTotal(state, now);
}

double EndpointRegistry::MeanLeft(const EndpointState& state) const {
  const int known = state.OwnTotal() + state.peer_online + state.peer_batch;
  const auto found = this->services.find(state.entry.service);
  const double usual =
      found == this->services.end() ? 1 : kLeftOfUsual * found->second.pace.MeanUnits();
  return std::max(1.0, (state.work.Left() + kUsualRequests * usual) / (known + kUsualRequests));
}

placement::WorkCandidate EndpointRegistry::Expect(const EndpointState& state,
                                                  const ChoiceRequest& request,
                                                  net::SteadyTime now) const {
  static const ServiceWork kUnknown;
  const auto found = this->services.find(request.service);
  const placement::ServicePace& pace =
      found == this->services.end() ? kUnknown.pace : found->second.pace;
  const placement::RequestCost& cost = request.cost;
  const double unit_ms = state.work.UnitMs(pace, now);
  const double unread = std::max(0.0, cost.prompt_tokens - state.work.Held().Tokens(cost.shared));
  const double rest = std::max(0.0, cost.units - cost.first_units);
  const bool is_batch = request.work == WorkClass::kBatch;
  placement::WorkCandidate expected;
  expected.slots = std::max(1, state.entry.slots);
  expected.in_flight = EstimatedInFlight(state, now);
  expected.slack = kSlack;
  expected.first_ms =
      unit_ms * (cost.first_units + (is_batch ? kBatchRestWeight : kRestWeight) * rest) +
      unread * pace.ReadMsPerToken() * state.work.Slowdown(now);
  if (state.entry.zone == this->zone) {
    expected.first_ms -= kZoneAdvantageMs;
  }
  expected.turn_ms = kWaitWeight * this->MeanLeft(state) * unit_ms / expected.slots;
  const int preemptible = is_batch ? 0 : std::min(state.Batch(), kMaxPreempted);
  if (preemptible > 0) {
    const double excess = expected.in_flight + 1 - expected.slots;
    expected.first_ms += kPreemptionMs * std::clamp((excess + kSlack) / (2 * kSlack), 0.0, 1.0);
    expected.in_flight -= preemptible;
  }
  return expected;
}

bool EndpointRegistry::IsInShare(std::size_t rank, std::size_t endpoints) const {
  if (this->name.empty() || this->peer_names.empty()) {
    return false;
  }
  const auto before = static_cast<double>(
      std::distance(this->peer_names.begin(), this->peer_names.lower_bound(this->name)));
  const double per_node =
      static_cast<double>(endpoints) / static_cast<double>(this->peer_names.size() + 1);
  const auto place = static_cast<double>(rank);
  return place + 1 > before * per_node && place < (before + 1) * per_node;
}

std::size_t EndpointRegistry::ChooseByWork(const std::vector<placement::WorkCandidate>& expected,
                                           std::size_t endpoints, double unseen) const {
  using placement::WorkPlacement;
  const double longest = WorkPlacement::Level(expected, unseen) + kShareToleranceMs;
  std::size_t best = expected.size();
  double best_ms = longest;
  for (std::size_t index = 0; index < expected.size(); ++index) {
    placement::WorkCandidate candidate = expected[index];
    if (!this->IsInShare(candidate.rank, endpoints)) {
      continue;
    }
    candidate.slack = kOwnSlack;
    const double own_ms = WorkPlacement::Expected(candidate);
    if (own_ms <= best_ms) {
      best = index;
      best_ms = own_ms;
    }
  }
  return best < expected.size() ? best : WorkPlacement::Choose(expected, unseen, this->draw());
}

bool EndpointRegistry::HasSlot(const EndpointState& state, const ChoiceRequest& request,
                               double in_flight) {
  const int slots = state.entry.slots;
  if (request.work == WorkClass::kBatch) {
    return in_flight < slots - std::min(kBatchHeadroom, slots - 1);
  }
  return in_flight < slots + kQueued;
}

double EndpointRegistry::FreeMemory(const EndpointState& state,
                                    const ChoiceRequest& request) const {
  const bool is_known = this->IsPlacedByWork(request.service) && request.endpoint_memory > 0;
  return is_known ? request.endpoint_memory - state.work.Memory() / kEstimatedShare
                  : std::numeric_limits<double>::infinity();
}

bool EndpointRegistry::IsTooLarge(const ChoiceRequest& request) const {
  // An answer that has begun shows that the request fits.
  return this->IsPlacedByWork(request.service) && request.endpoint_memory > 0 &&
         !request.has_begun && request.cost.memory_tokens > request.endpoint_memory;
}

}  // namespace lentilhead::gateway
