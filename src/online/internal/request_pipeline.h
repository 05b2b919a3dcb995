#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "framework/http_exchange.h"
#include "framework/timer_subscription.h"
#include "online/internal/admission.h"
#include "online/internal/worker_resources.h"

namespace lentilhead::online::internal {

/// Callbacks for the events of a request in the pipeline. A callback may end the request.
struct PipelineHooks {
  std::function<void()> on_admitted;
  std::function<void(const Refusal&)> on_rejected;
  std::function<void()> on_caller_disconnected;  ///< Only for an admitted request.
  std::function<void()> on_drain_limit;
};

/// Open requests of one worker, from admission until their answers have been written.
class RequestPipeline {
 public:
  explicit RequestPipeline(WorkerResources& resources);
  RequestPipeline(const RequestPipeline&) = delete;
  RequestPipeline& operator=(const RequestPipeline&) = delete;

  /// Returns the identifier for a new request.
  std::uint64_t NewId();

  /// Submits a request to admission. @param request has an id from NewId().
  void Submit(const AdmissionRequest& request,
              const std::shared_ptr<framework::HttpExchange>& exchange, PipelineHooks hooks);

  /// Ends an admitted request whose answer has been given.
  void Finish(std::uint64_t id);

  /// Requests whose answers have not been written, queued ones included.
  [[nodiscard]] std::size_t OpenCount() const { return this->entries.size(); }

  /// Calls the hook `on_drain_limit` of every unfinished request. @return their number.
  std::size_t AbortAll();

  /// Sets a handler that is called whenever the last open request has ended.
  void OnIdle(std::function<void()> handler) { this->on_idle = std::move(handler); }

 private:
  enum class Phase { kQueued, kRunning, kFinished };
  struct Entry {
    PipelineHooks hooks;
    std::shared_ptr<framework::HttpExchange> exchange;
    std::string service;
    Phase phase = Phase::kQueued;
  };
  struct Visitor;

  [[nodiscard]] int FreeSlots(const std::string& service) const;
  void Apply(const AdmissionEffects& effects);
  void OnAdmitted(std::uint64_t id);
  void OnRejected(std::uint64_t id, const Refusal& refusal);
  void OnExchangeClosed(std::uint64_t id);
  void DispatchQueued();
  void EraseIfDone(std::uint64_t id);
  void UpdateGauges();

  WorkerResources& resources;
  Admission admission;
  std::map<std::uint64_t, Entry> entries;
  std::uint64_t next_id = 1;
  std::size_t counted_open = 0;
  std::size_t counted_queued = 0;
  framework::TimerSubscription expiry;
  std::function<void()> on_idle;
};

}  // namespace lentilhead::online::internal
