#pragma once

#include <gio/gio.h>

#include <chrono>
#include <map>
#include <memory>

#include "framework/metrics.h"
#include "framework/timer_service.h"
#include "framework/types/http_server_settings.h"

namespace lentilhead::framework::internal {

/// Closes the connections of a listener whose peers send a request too slowly.
class ConnectionDeadlines {
 public:
  /// What a connection waits for.
  enum class Phase { kFirstHeaders, kBody, kNextHeaders };

  ConnectionDeadlines(const HttpServerSettings& settings, Metrics& metrics);
  ConnectionDeadlines(const ConnectionDeadlines&) = delete;
  ConnectionDeadlines& operator=(const ConnectionDeadlines&) = delete;

  /// Starts to watch, on the calling thread's default main context.
  void Start();

  /// A connection begins a phase, which bounds the time until its end.
  void Begin(GSocket* socket, Phase phase);

  /// Ends the phase of a connection; without one it may take any time.
  void End(GSocket* socket);

 private:
  struct Wait {
    Phase phase;
    MonotonicTime until;
    std::shared_ptr<GSocket> socket;
  };

  void CloseExpired();

  std::chrono::milliseconds header_timeout;
  std::chrono::milliseconds idle_timeout;
  Counter& slow_headers;
  Counter& slow_bodies;
  std::map<GSocket*, Wait> waits;
  std::unique_ptr<TimerService> timers;
  TimerSubscription sweep;
};

}  // namespace lentilhead::framework::internal
