#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/batch_settings.h"
#include "batch/internal/endpoint_grant.h"
#include "batch/internal/grant_policy.h"
#include "batch/internal/item_run.h"
#include "endpoint/endpoint_directory.h"
#include "framework/http_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::batch::internal {

/// Parts of the task that endpoint workers use.
struct WorkerParts {
  const BatchSettings& settings;
  framework::HttpClient& http;
  framework::TimerService& timers;
  framework::Metrics& metrics;
  endpoint::EndpointDirectory& directory;
  const std::function<std::string(const std::string& model)>& translate_model;  ///< May be empty.
};

/// Batch work of this process at one endpoint that it owns or has owned: polls the endpoint's load,
/// keeps the number of items in flight within the grant, and cancels the newest on a burst.
class EndpointWorker {
 public:
  using ResultHandler = std::function<void(const std::string& job, ItemResult result)>;

  /// @param on_result takes the end of each attempt. @param on_room called when there may be room.
  EndpointWorker(WorkerParts parts, endpoint::EndpointInfo target,
                 const endpoint::ServiceSettings& service, ResultHandler on_result,
                 std::function<void()> on_capacity);
  EndpointWorker(const EndpointWorker&) = delete;
  EndpointWorker& operator=(const EndpointWorker&) = delete;
  ~EndpointWorker();

  /// Takes a view of the fleet.
  void OnView(framework::MonotonicTime confirmed, bool is_owner);

  /// Polls the load and enforces the grant's end. Called every load period.
  void OnTick();

  /// Items that may be started now.
  [[nodiscard]] int Credit() const;

  /// Starts an item. @return false if there is no room any more.
  bool Start(const GrantedItem& item);

  /// Reserves the endpoint for an item that must run alone, and gives it back.
  void SetReserved(bool is_reserved) { this->reserved = is_reserved; }
  [[nodiscard]] bool IsReserved() const { return this->reserved; }

  /// True if the endpoint is reserved and free of batch items.
  [[nodiscard]] bool IsReadyForSolo() const;

  /// Cancels the attempt at an item without a result. @return false if it is not here.
  bool Drop(const std::string& job, const HeldItem& held);

  /// Cancels every attempt and reports it as preempted.
  void PreemptAll();

  /// Adds the attempts in flight to `held`, by job.
  void AddHeld(std::map<std::string, std::vector<HeldItem>>& held) const;

  [[nodiscard]] int InFlight() const { return static_cast<int>(this->runs.size()); }
  [[nodiscard]] const std::string& Service() const { return this->target.service; }
  [[nodiscard]] bool IsOwner() const { return this->grant.IsOwner(); }

 private:
  void OnLoad(const framework::HttpResponse& response, int batch_in_flight);
  void TranslateModel(JobLine& line) const;
  void CancelExcess();
  void Preempt(std::uint64_t run);
  void OnEnd(std::uint64_t run, ItemResult result, endpoint::AttemptEnd end);
  [[nodiscard]] bool IsUsable() const;

  WorkerParts parts;
  endpoint::EndpointInfo target;
  const endpoint::ServiceSettings& service;
  ResultHandler on_result;
  std::function<void()> on_capacity;
  EndpointGrant grant;
  GrantPolicy policy;
  bool reserved = false;
  bool solo_running = false;
  std::uint64_t next_run = 1;
  std::map<std::uint64_t, std::unique_ptr<ItemRun>> runs;  ///< By start, oldest first.
  std::optional<framework::HttpCall> poll;
  framework::MonotonicTime last_sample;
  framework::MonotonicTime paused_until;
  bool endpoint_draining = false;
};

}  // namespace lentilhead::batch::internal
