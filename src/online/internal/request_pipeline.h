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

/// What happens to a request in the pipeline. A hook may end the request.
struct PipelineHooks {
  std::function<void()> on_admitted;
  std::function<void(const Refusal&)> on_rejected;
  std::function<void()> on_caller_disconnected;  ///< Only for an admitted request.
  std::function<void()> on_drain_limit;
};

/// The requests of one worker, from admission until their answers have been written.
class RequestPipeline {
 public:
  explicit RequestPipeline(WorkerResources& resources);
  RequestPipeline(const RequestPipeline&) = delete;
  RequestPipeline& operator=(const RequestPipeline&) = delete;

  /// Identifier of the next request.
  std::uint64_t NewId();

  /// Takes a request. @param request with an id from NewId().
  void Submit(const AdmissionRequest& request,
              const std::shared_ptr<framework::HttpExchange>& exchange, PipelineHooks hooks);

  /// Ends an admitted request whose answer has been given.
  void Finish(std::uint64_t id);

  /// Requests whose answers have not been written, queued ones included.
  [[nodiscard]] std::size_t OpenCount() const { return this->entries.size(); }

  /// Ends every open request with drain_limit. @return their number.
  std::size_t AbortAll();

  /// Calls back whenever the last open request has ended.
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
