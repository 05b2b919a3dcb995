#include "online/internal/admission.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lentilhead::online::internal {

namespace {

using framework::MonotonicTime;
using std::chrono::milliseconds;

constexpr milliseconds kShortestRetryAfter{100};
constexpr milliseconds kLongestRetryAfter{30'000};
constexpr milliseconds kDefaultRetryAfter{1'000};
constexpr std::size_t kMaxTrackedCallers = 8192;

milliseconds RetryAfter(std::chrono::nanoseconds wait) {
  return std::clamp(std::chrono::ceil<milliseconds>(wait), kShortestRetryAfter, kLongestRetryAfter);
}

}  // namespace

Admission::Admission(AdmissionSettings settings) : settings(settings) {}

AdmissionEffects Admission::Submit(const AdmissionRequest& request, int free_slots,
                                   MonotonicTime now) {
  AdmissionEffects effects;
  CallerState& caller = this->FindOrAddCaller(request);
  ServiceState& service = this->services[request.service];
  const auto refusal = this->Check(request, caller, service, free_slots, now);
  if (refusal) {
    effects.emplace_back(Rejected{request.id, *refusal});
    this->RemoveIfIdle(request.caller);
    return effects;
  }
  caller.in_flight += 1;
  const RequestState state{request.caller, request.service, now};
  if (free_slots > 0 && service.queues.Size() == 0) {
    this->admitted.emplace(request.id, state);
    service.rate.OnAdmit(now);
    effects.emplace_back(Admitted{request.id});
    return effects;
  }
  const MonotonicTime admission_deadline =
      std::min(request.deadline, now + this->settings.max_wait);
  service.queues.Push(request.caller, {request.id, request.cost, admission_deadline});
  this->queued.emplace(request.id, state);
  AdmissionEffects dispatched = this->Dispatch(request.service, free_slots, now);
  effects.insert(effects.end(), dispatched.begin(), dispatched.end());
  return effects;
}

std::optional<Refusal> Admission::Check(const AdmissionRequest& request, CallerState& caller,
                                        ServiceState& service, int free_slots,
                                        MonotonicTime now) const {
  if (caller.in_flight >= caller.limits.max_in_flight) {
    return Refusal{RefusalReason::kCallerInFlight, Outcome::kNotRun, kDefaultRetryAfter};
  }
  if (!caller.bucket.TryTake(now)) {
    return Refusal{RefusalReason::kCallerRate, Outcome::kNotRun,
                   RetryAfter(caller.bucket.TimeUntil(now))};
  }
  if (request.deadline <= now) {
    return Refusal{RefusalReason::kDeadlineExceeded, Outcome::kNotRun, std::nullopt};
  }
  if (free_slots > 0 && service.queues.Size() == 0) {
    return std::nullopt;
  }
  const milliseconds wait =
      this->ExpectedWait(service, request.caller, service.queues.SizeOf(request.caller), now);
  if (service.queues.Size() >= this->settings.max_queue) {
    return Refusal{RefusalReason::kQueueFull, Outcome::kNotRun,
                   RetryAfter(std::max(wait, kDefaultRetryAfter))};
  }
  const milliseconds wait_limit =
      std::min(this->settings.max_wait, std::chrono::floor<milliseconds>(request.deadline - now));
  if (wait > wait_limit) {
    return Refusal{RefusalReason::kWaitTooLong, Outcome::kNotRun, RetryAfter(wait - wait_limit)};
  }
  return std::nullopt;
}

AdmissionEffects Admission::Dispatch(const std::string& service_name, int free_slots,
                                     MonotonicTime now) {
  AdmissionEffects effects;
  const auto service = this->services.find(service_name);
  if (service == this->services.end()) {
    return effects;
  }
  while (free_slots > 0) {
    const auto id = service->second.queues.Pop(this->settings.quantum);
    if (!id) {
      break;
    }
    auto state = this->queued.extract(*id);
    state.mapped().admitted_at = now;
    this->admitted.insert(std::move(state));
    service->second.rate.OnAdmit(now);
    effects.emplace_back(Admitted{*id});
    free_slots -= 1;
  }
  return effects;
}

AdmissionEffects Admission::Expire(MonotonicTime now) {
  std::vector<std::pair<std::uint64_t, milliseconds>> expired;
  for (const auto& [name, service] : this->services) {
    for (const auto& [caller, queue] : service.queues.Queues()) {
      std::size_t position = 0;
      for (const CallerQueues::Entry& entry : queue.entries) {
        const milliseconds wait = this->ExpectedWait(service, caller, position, now);
        if (now + wait >= entry.admission_deadline) {
          expired.emplace_back(entry.id, wait);
          continue;
        }
        position += 1;
      }
    }
  }
  AdmissionEffects effects;
  for (const auto& [id, wait] : expired) {
    this->Reject(id,
                 {RefusalReason::kQueueTimeout, Outcome::kNotRun,
                  RetryAfter(std::max(wait, kDefaultRetryAfter))},
                 effects);
  }
  return effects;
}

AdmissionEffects Admission::RefuseAll(const std::string& service, RefusalReason reason) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, state] : this->queued) {
    if (state.service == service) {
      ids.push_back(id);
    }
  }
  AdmissionEffects effects;
  for (const std::uint64_t id : ids) {
    this->Reject(id, {reason, Outcome::kNotRun, kDefaultRetryAfter}, effects);
  }
  return effects;
}

void Admission::Release(std::uint64_t id, MonotonicTime now) {
  const auto found = this->admitted.find(id);
  if (found == this->admitted.end()) {
    return;
  }
  const RequestState state = std::move(found->second);
  this->admitted.erase(found);
  this->callers.at(state.caller).in_flight -= 1;
  this->services[state.service].rate.OnRelease(state.admitted_at, now);
  this->RemoveIfIdle(state.caller);
}

void Admission::Withdraw(std::uint64_t id) {
  AdmissionEffects ignored;
  this->Reject(id, {RefusalReason::kQueueTimeout, Outcome::kNotRun, std::nullopt}, ignored);
}

std::size_t Admission::QueuedCount(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.queues.Size();
}

std::vector<std::string> Admission::ServicesWithQueue() const {
  std::vector<std::string> names;
  for (const auto& [name, service] : this->services) {
    if (service.queues.Size() > 0) {
      names.push_back(name);
    }
  }
  return names;
}

Admission::CallerState& Admission::FindOrAddCaller(const AdmissionRequest& request) {
  const CallerLimits& limits = request.limits;
  const auto [found, inserted] = this->callers.try_emplace(
      request.caller,
      CallerState{framework::TokenBucket(limits.requests_per_second, limits.burst), limits, 0});
  if (!inserted && found->second.limits != limits) {
    found->second.bucket = framework::TokenBucket(limits.requests_per_second, limits.burst);
    found->second.limits = limits;
  }
  return found->second;
}

void Admission::RemoveIfIdle(const std::string& caller) {
  const auto found = this->callers.find(caller);
  // Up to kMaxTrackedCallers, idle callers stay stored, because their token buckets limit the rate
  // of their next requests.
  if (found != this->callers.end() && found->second.in_flight == 0 &&
      this->callers.size() > kMaxTrackedCallers) {
    this->callers.erase(found);
  }
}

milliseconds Admission::ExpectedWait(const ServiceState& service, const std::string& caller,
                                     std::size_t position, MonotonicTime now) const {
  const bool adds_queue = service.queues.SizeOf(caller) == 0;
  const std::size_t queue_count = service.queues.CallerCount() + (adds_queue ? 1 : 0);
  const std::size_t admissions_needed =
      std::min((position + 1) * queue_count, service.queues.Size() + 1);
  return std::chrono::duration_cast<milliseconds>(service.rate.Interval(now) *
                                                  static_cast<std::int64_t>(admissions_needed));
}

void Admission::Reject(std::uint64_t id, const Refusal& refusal, AdmissionEffects& effects) {
  const auto found = this->queued.find(id);
  if (found == this->queued.end()) {
    return;
  }
  const RequestState state = std::move(found->second);
  this->queued.erase(found);
  this->services[state.service].queues.Remove(state.caller, id);
  this->callers.at(state.caller).in_flight -= 1;
  effects.emplace_back(Rejected{id, refusal});
  this->RemoveIfIdle(state.caller);
}

}  // namespace lentilhead::online::internal
