#include "gateway/internal/silence_watch.h"

#include <utility>

namespace lentilhead::gateway::internal {

namespace {

constexpr std::chrono::milliseconds kRepeatPeriod{100};

}  // namespace

SilenceWatch::SilenceWatch(const net::asio::any_io_executor& executor,
                           std::function<bool()> gives_up)
    : state(std::make_shared<State>()), timer(executor) {
  this->state->gives_up = std::move(gives_up);
}

SilenceWatch::~SilenceWatch() { this->state->is_waiting = false; }

void SilenceWatch::Start(net::SteadyTime silent_at) {
  this->state->is_waiting = true;
  this->Arm(silent_at);
}

bool SilenceWatch::Stop() {
  this->state->is_waiting = false;
  this->timer.cancel();
  return std::exchange(this->state->has_given_up, false);
}

void SilenceWatch::Arm(net::SteadyTime at) {
  this->timer.expires_at(at);
  this->timer.async_wait([this, state = this->state](const net::ErrorCode& error) {
    if (error || !state->is_waiting || net::Now() < this->timer.expiry()) {
      return;  // the wait that the timer was set for has ended
    }
    state->has_given_up = state->gives_up();
    if (!state->has_given_up) {
      this->Arm(net::Now() + kRepeatPeriod);
    }
  });
}

}  // namespace lentilhead::gateway::internal
