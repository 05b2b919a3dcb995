#include "online/internal/request_pipeline.h"

#include <utility>
#include <vector>

#include "framework/log_event.h"

namespace lentilhead::online::internal {

namespace {

constexpr std::chrono::milliseconds kExpiryPeriod{50};
constexpr std::chrono::milliseconds kRetryAfter{1'000};

}  // namespace

struct RequestPipeline::Visitor {
  RequestPipeline& pipeline;

  void operator()(const Admitted& admitted) const { this->pipeline.OnAdmitted(admitted.id); }
  void operator()(const Rejected& rejected) const {
    this->pipeline.OnRejected(rejected.id, rejected.refusal);
  }
};

RequestPipeline::RequestPipeline(WorkerResources& resources)
    : resources(resources),
      admission({static_cast<std::size_t>(resources.settings.max_queue),
                 resources.settings.max_wait, static_cast<double>(resources.settings.quantum)}) {
  this->resources.directory.OnChange([this] { this->DispatchQueued(); });
  this->expiry = this->resources.timers.Every(kExpiryPeriod, [this] {
    if (this->admission.QueuedCount() > 0) {
      this->Apply(this->admission.Expire(this->resources.timers.Now()));
      this->DispatchQueued();
    }
  });
}

std::uint64_t RequestPipeline::NewId() { return this->next_id++; }

void RequestPipeline::Submit(const AdmissionRequest& request,
                             const std::shared_ptr<framework::HttpExchange>& exchange,
                             PipelineHooks hooks) {
  const std::uint64_t id = request.id;
  this->entries.emplace(id, Entry{std::move(hooks), exchange, request.service, Phase::kQueued});
  exchange->OnClosed([this, id](bool /*completed*/) { this->OnExchangeClosed(id); });
  if (this->resources.directory.LoadOf(request.service).endpoints == 0) {
    this->OnRejected(id, {RefusalReason::kNoEndpoint, Outcome::kNotRun, kRetryAfter});
    return;
  }
  this->Apply(this->admission.Submit(request, this->FreeSlots(request.service),
                                     this->resources.timers.Now()));
  this->UpdateGauges();
}

void RequestPipeline::Finish(std::uint64_t id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() || found->second.phase == Phase::kFinished) {
    return;
  }
  found->second.phase = Phase::kFinished;
  const std::string service = found->second.service;
  this->admission.Release(id, this->resources.timers.Now());
  this->EraseIfDone(id);
  if (this->admission.QueuedCount(service) > 0) {
    this->Apply(
        this->admission.Dispatch(service, this->FreeSlots(service), this->resources.timers.Now()));
  }
  this->UpdateGauges();
}

std::size_t RequestPipeline::AbortAll() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, entry] : this->entries) {
    ids.push_back(id);
  }
  std::size_t aborted = 0;
  for (const std::uint64_t id : ids) {
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.phase == Phase::kFinished) {
      continue;
    }
    aborted += 1;
    this->resources.metrics.aborted_by_shutdown.Add();
    const auto on_drain_limit = found->second.hooks.on_drain_limit;
    on_drain_limit();
  }
  return aborted;
}

int RequestPipeline::FreeSlots(const std::string& service) const {
  const auto load = this->resources.directory.LoadOf(service);
  return load.slots + this->resources.settings.endpoint_queue * load.endpoints - load.used;
}

void RequestPipeline::Apply(const AdmissionEffects& effects) {
  for (const AdmissionEffect& effect : effects) {
    std::visit(Visitor{*this}, effect);
  }
}

void RequestPipeline::OnAdmitted(std::uint64_t id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    this->admission.Release(id, this->resources.timers.Now());
    return;
  }
  found->second.phase = Phase::kRunning;
  const auto on_admitted = found->second.hooks.on_admitted;
  on_admitted();
}

void RequestPipeline::OnRejected(std::uint64_t id, const Refusal& refusal) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return;
  }
  found->second.phase = Phase::kFinished;
  const auto on_rejected = found->second.hooks.on_rejected;
  on_rejected(refusal);
  this->EraseIfDone(id);
}

void RequestPipeline::OnExchangeClosed(std::uint64_t id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) {
    return;
  }
  if (found->second.phase == Phase::kQueued) {
    this->resources.metrics.callers_disconnected.Add();
    this->admission.Withdraw(id);
    found->second.phase = Phase::kFinished;
  } else if (found->second.phase == Phase::kRunning) {
    this->resources.metrics.callers_disconnected.Add();
    const auto on_caller_disconnected = found->second.hooks.on_caller_disconnected;
    on_caller_disconnected();
  }
  this->EraseIfDone(id);
  this->UpdateGauges();
}

void RequestPipeline::DispatchQueued() {
  for (const std::string& service : this->admission.ServicesWithQueue()) {
    if (this->resources.directory.LoadOf(service).endpoints == 0) {
      this->Apply(this->admission.RefuseAll(service, RefusalReason::kNoEndpoint));
      continue;
    }
    this->Apply(
        this->admission.Dispatch(service, this->FreeSlots(service), this->resources.timers.Now()));
  }
  this->UpdateGauges();
}

void RequestPipeline::EraseIfDone(std::uint64_t id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() || found->second.phase != Phase::kFinished ||
      !found->second.exchange->IsClosed()) {
    return;
  }
  this->entries.erase(found);
  if (this->entries.empty() && this->on_idle) {
    this->on_idle();
  }
}

void RequestPipeline::UpdateGauges() {
  const std::size_t open = this->entries.size();
  const std::size_t queued = this->admission.QueuedCount();
  this->resources.metrics.running.Add(static_cast<std::int64_t>(open) -
                                      static_cast<std::int64_t>(this->counted_open));
  this->resources.metrics.queued.Add(static_cast<std::int64_t>(queued) -
                                     static_cast<std::int64_t>(this->counted_queued));
  this->counted_open = open;
  this->counted_queued = queued;
}

}  // namespace lentilhead::online::internal
