#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "framework/http_exchange.h"
#include "framework/timer_service.h"
#include "standin/engine/continuous_batch.h"
#include "standin/engine/internal/cache_event_log.h"
#include "standin/engine/internal/engine_request.h"
#include "standin/engine/internal/load_history.h"
#include "standin/engine/internal/model_orders.h"
#include "standin/engine/types/engine_options.h"
#include "standin/engine/types/engine_stats.h"
#include "standin/engine/types/fault_plan.h"

namespace lentilhead::standin {

/// Runs requests through the batch and writes their answers.
class EngineCore : public std::enable_shared_from_this<EngineCore> {
 public:
  EngineCore(EngineOptions options, framework::TimerService& timers);

  /// Submits or refuses a completion request.
  void Complete(CompletionKind kind, const std::shared_ptr<framework::HttpExchange>& exchange);

  /// Submits or refuses a call of a plain service.
  void Call(const std::shared_ptr<framework::HttpExchange>& exchange);

  /// Aborts every request and stops generation.
  void AbortAll();

  void SetFaults(const FaultPlan& plan);
  [[nodiscard]] const FaultPlan& Faults() const { return this->faults; }

  /// Sets whether a model is being loaded. New requests are refused during a load.
  void SetLoading(bool loading);

  /// Records the current load. Call it after a change of the model's state.
  void RecordLoad();

  [[nodiscard]] LoadSnapshot ReportLoad() { return this->history.ReportAt(this->timers.Now()); }
  /// Renders the cache events after a sequence number.
  [[nodiscard]] std::string RenderCacheEvents(std::uint64_t after);

  [[nodiscard]] PrefixCache& Cache() { return this->batch.Cache(); }
  [[nodiscard]] EngineStats& Stats() { return this->stats; }
  [[nodiscard]] ModelOrders& Orders() { return this->orders; }
  [[nodiscard]] const EngineOptions& Options() const { return this->options; }
  [[nodiscard]] framework::TimerService& Timers() { return this->timers; }

 private:
  bool Refuse(framework::HttpExchange& exchange);
  [[nodiscard]] bool Serves(const std::string& model) const;
  void Submit(EngineRequest request, std::uint64_t prefix_hash, int tokens, bool hangs);
  void AssignFaults(EngineRequest& request, std::string_view prompt, bool& hangs);
  void AdvanceBatch();
  void ScheduleAdvance();
  void Handle(const GenerationEvent& event);
  void OnAdmitted(std::uint64_t id, EngineRequest& request, bool cache_hit);
  void OnToken(std::uint64_t id, EngineRequest& request, int token);
  void OnFinished(std::uint64_t id, EngineRequest& request);
  void AnswerCall(framework::HttpExchange& exchange);
  void Flush();
  void RecordCacheChanges();
  void RemoveRequest(std::uint64_t id);

  EngineOptions options;
  framework::TimerService& timers;
  ContinuousBatch batch;
  LoadHistory history;
  CacheEventLog cache_events;
  ModelOrders orders;
  EngineStats stats;
  FaultPlan faults;
  bool loading = false;
  std::uint64_t next_id = 1;
  std::uint64_t calls = 0;
  std::unordered_map<std::uint64_t, EngineRequest> requests;
  std::set<std::uint64_t> unwritten;  ///< Ids of streams with events to write.
  framework::MonotonicTime last_advance;
  framework::TimerSubscription advance_timer;
};

}  // namespace lentilhead::standin
