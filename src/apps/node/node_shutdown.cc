#include "apps/node/node_program.h"
#include "gateway/shutdown_policy.h"
#include "net/log_line.h"

namespace lentilhead::node {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kLeavePollPeriod{50};
constexpr milliseconds kClosePollPeriod{10};
constexpr milliseconds kLastReadTime{50};
constexpr milliseconds kLongestClose{200};  // for the last answers before the exit

}  // namespace

awaitable<void> NodeProgram::Leave() {
  gateway::ShutdownTimes& shutdown = this->gateway.shutdown;
  shutdown.started = net::Now();
  shutdown.grace = this->settings.stop_grace;
  shutdown.lag = this->loop_lag.Longest();
  shutdown.exits_at =
      gateway::ShutdownPolicy::ExitAt(shutdown.started, shutdown.grace, shutdown.lag);
  this->gateway.stopping = true;
  this->peers.NoteChange();
  net::LogLine("leaving")
      .With("in_flight", this->caller_server.RequestsInFlight())
      .With("sessions", this->caller_server.OpenConnections())
      .With("jobs", this->job_service.OwnedCount())
      .With("relayed", this->tunnel_server.Open())
      .With("loop_lag_ms", shutdown.lag.count())
      .With("exits_in_ms", net::ToMilliseconds(shutdown.exits_at - shutdown.started).count());
  this->job_service.HandOver();
  co_await this->FinishRequests();
  co_await this->EndRequests();
  this->context.stop();
}

awaitable<void> NodeProgram::FinishRequests() {
  gateway::ShutdownTimes& shutdown = this->gateway.shutdown;
  net::asio::steady_timer timer(this->executor);
  while (net::Now() < shutdown.exits_at) {
    if (net::Now() - shutdown.started >= gateway::ShutdownPolicy::kListenerDrainTime) {
      this->caller_server.CloseIdle();
      if (this->HasFinished()) {
        co_return;
      }
    }
    timer.expires_after(kLeavePollPeriod);
    co_await timer.async_wait(net::kAwaitWithError);
    this->loop_lag.Record(net::Now() - timer.expiry());
    shutdown.lag = this->loop_lag.Longest();
    shutdown.exits_at = gateway::ShutdownPolicy::RevisedExit(shutdown);
  }
}

bool NodeProgram::HasFinished() {
  const bool is_idle = this->caller_server.RequestsInFlight() == 0 &&
                       this->caller_server.OpenConnections() == 0 &&
                       this->tunnel_server.Open() == 0 && this->job_service.IsIdle();
  if (is_idle && this->caller_listener.is_open()) {
    // A connection that has been accepted just now is served before the next check.
    net::ErrorCode ignored;  // the process exits in any case
    this->caller_listener.close(ignored);
    return false;
  }
  return is_idle;
}

awaitable<void> NodeProgram::EndRequests() {
  if (this->caller_server.RequestsInFlight() > 0) {
    net::LogLine("requests_ended")
        .With("reason", "leaving")
        .With("count", this->caller_server.RequestsInFlight());
  }
  this->caller_server.EndRequests();
  const net::SteadyTime start = net::Now();
  // Requests that arrived while the event loop was late are read now, and refused.
  while (net::Now() < start + kLastReadTime ||
         (this->caller_server.RequestsInFlight() > 0 && net::Now() < start + kLongestClose)) {
    net::asio::steady_timer timer(this->executor, kClosePollPeriod);
    co_await timer.async_wait(net::kAwaitWithError);
  }
  this->caller_server.LogCutRequests();
}

}  // namespace lentilhead::node
