#include "framework/internal/connection_deadlines.h"

#include <algorithm>

namespace lentilhead::framework::internal {

namespace {

constexpr std::chrono::milliseconds kLongestSweepPeriod{250};

}  // namespace

ConnectionDeadlines::ConnectionDeadlines(const HttpServerSettings& settings, Metrics& metrics)
    : header_timeout(settings.header_timeout),
      idle_timeout(settings.idle_timeout),
      slow_headers(metrics.GetCounter("http_refusals_total", {{"reason", "slow_headers"}})),
      slow_bodies(metrics.GetCounter("http_refusals_total", {{"reason", "slow_body"}})) {}

void ConnectionDeadlines::Start() {
  this->timers = TimerService::OnMainContext(g_main_context_get_thread_default());
  this->sweep = this->timers->Every(std::min(this->header_timeout, kLongestSweepPeriod),
                                    [this] { this->CloseExpired(); });
}

void ConnectionDeadlines::Begin(GSocket* socket, Phase phase) {
  if (socket == nullptr) {
    return;
  }
  const auto limit = phase == Phase::kFirstHeaders ? this->header_timeout : this->idle_timeout;
  this->waits[socket] = {
      phase, this->timers->Now() + limit,
      std::shared_ptr<GSocket>(static_cast<GSocket*>(g_object_ref(socket)), g_object_unref)};
}

void ConnectionDeadlines::End(GSocket* socket) { this->waits.erase(socket); }

void ConnectionDeadlines::CloseExpired() {
  const MonotonicTime now = this->timers->Now();
  for (auto wait = this->waits.begin(); wait != this->waits.end();) {
    if (wait->second.until > now) {
      ++wait;
      continue;
    }
    if (wait->second.phase == Phase::kFirstHeaders) {
      this->slow_headers.Add();
    } else if (wait->second.phase == Phase::kBody) {
      this->slow_bodies.Add();
    }
    g_socket_shutdown(wait->first, TRUE, TRUE, nullptr);
    wait = this->waits.erase(wait);
  }
}

}  // namespace lentilhead::framework::internal
