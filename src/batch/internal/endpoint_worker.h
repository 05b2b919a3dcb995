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

/// Objects that endpoint workers use. Each reference must outlive the workers.
struct WorkerParts {
  const BatchSettings& settings;
  framework::HttpClient& http;
  framework::TimerService& timers;
  framework::Metrics& metrics;
  endpoint::EndpointDirectory& directory;
  const std::function<std::string(const std::string& model)>& translate_model;  ///< May be empty.
};

/// Runs the batch work of this process at one endpoint that it owns or has owned: polls the
/// endpoint's load, keeps the number of items in flight within the limit of the grant policy, and
/// cancels the newest items during a burst of online requests.
class EndpointWorker {
 public:
  using ResultHandler = std::function<void(const std::string& job, ItemResult result)>;

  /// @param on_result called with the result of each attempt.
  /// @param on_capacity called when the endpoint may accept more items.
  EndpointWorker(WorkerParts parts, endpoint::EndpointInfo target,
                 const endpoint::ServiceSettings& service, ResultHandler on_result,
                 std::function<void()> on_capacity);
  EndpointWorker(const EndpointWorker&) = delete;
  EndpointWorker& operator=(const EndpointWorker&) = delete;
  ~EndpointWorker();

  /// Updates the ownership of the endpoint from a view of the fleet.
  void OnView(framework::MonotonicTime confirmed, bool is_owner);

  /// Polls the load, and cancels all items once they may no longer run. Called every load
  /// period. @see EndpointGrant
  void OnTick();

  /// Number of items that may be started now.
  [[nodiscard]] int Credit() const;

  /// Starts an item. @return false if the endpoint has no capacity any more or the item's line is
  /// invalid.
  bool Start(const GrantedItem& item);

  /// Reserves the endpoint for an item that must run alone, or ends the reservation.
  void SetReserved(bool is_reserved) { this->reserved = is_reserved; }
  [[nodiscard]] bool IsReserved() const { return this->reserved; }

  /// Returns true if the endpoint is reserved and an item that must run alone may be started.
  [[nodiscard]] bool IsReadyForSolo() const;

  /// Cancels an attempt without reporting a result. @return false if it is not in flight here.
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
  std::map<std::uint64_t, std::unique_ptr<ItemRun>> runs;  ///< In the order of their start.
  std::optional<framework::HttpCall> poll;
  framework::MonotonicTime last_sample;
  framework::MonotonicTime paused_until;
  bool endpoint_draining = false;
};

}  // namespace lentilhead::batch::internal
