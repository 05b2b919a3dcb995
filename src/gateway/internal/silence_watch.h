#pragma once

#include <functional>
#include <memory>

#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// Asks repeatedly, from a point in time on, whether to give up a wait for a silent endpoint.
class SilenceWatch {
 public:
  /// @param gives_up ends the wait and returns true, or returns false to be asked again.
  SilenceWatch(const net::asio::any_io_executor& executor, std::function<bool()> gives_up);
  SilenceWatch(const SilenceWatch&) = delete;
  SilenceWatch& operator=(const SilenceWatch&) = delete;
  ~SilenceWatch();

  /// Begins a wait. @param silent_at time from which the endpoint counts as silent.
  void Start(net::SteadyTime silent_at);

  /// Ends the wait, if there is one.
  /// @return whether it was given up.
  bool Stop();

 private:
  /// Outlives the watch, for timer handlers that are already queued.
  struct State {
    std::function<bool()> gives_up;
    bool is_waiting = false;
    bool has_given_up = false;
  };

  void Arm(net::SteadyTime at);

  std::shared_ptr<State> state;
  net::asio::steady_timer timer;
};

}  // namespace lentilhead::gateway::internal
