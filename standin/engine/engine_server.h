#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "framework/result.h"
#include "framework/timer_service.h"
#include "standin/engine/types/engine_options.h"
#include "standin/engine/types/engine_stats.h"
#include "standin/engine/types/fault_plan.h"

namespace lentilhead::standin {

/// Simulated model engine or plain service, which runs on the calling thread's main context.
///
/// A model engine uses continuous batching with a bounded number of slots. It admits requests in
/// arrival order without priorities and shortens the prefill of cached prefixes. The prompt alone
/// determines the text of an answer, so a continued answer resumes with the same tokens.
/// A plain service answers every path.
class EngineServer {
 public:
  /// @param timers timer service of the calling thread; must outlive the server.
  EngineServer(EngineOptions options, framework::TimerService& timers);
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

  /// Aborts every request that has not been answered in full.
  ~EngineServer();

  /// Starts to listen. @return the port, or a framework::HttpServerError.
  framework::Result<std::uint16_t> Listen();

  /// Port of the listener; 0 before Listen().
  [[nodiscard]] std::uint16_t Port() const;

  /// Closes the listener: new connections are refused, open connections are still served.
  void StopListening();

  void SetFaults(const FaultPlan& faults);
  [[nodiscard]] const EngineStats& Stats() const;

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::standin
