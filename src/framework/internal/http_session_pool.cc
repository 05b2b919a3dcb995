#include "framework/internal/http_session_pool.h"

#include <glib.h>

#include <utility>

namespace lentilhead::framework::internal {

namespace {

constexpr std::chrono::seconds kIdleTime{20};
constexpr std::chrono::seconds kSweepPeriod{5};

std::string OriginOf(const std::string& url) {
  char* scheme = nullptr;
  char* host = nullptr;
  gint port = -1;
  if (g_uri_split_network(url.c_str(), G_URI_FLAGS_NONE, &scheme, &host, &port, nullptr) == FALSE) {
    return {};
  }
  std::string origin(scheme);
  origin.append("://").append(host).append(":").append(std::to_string(port));
  g_free(scheme);
  g_free(host);
  return origin;
}

}  // namespace

HttpSessionPool::HttpSessionPool(TimerService& timers, const std::string& tls_authority_file)
    : timers(timers) {
  if (!tls_authority_file.empty()) {
    this->authorities =
        G_TLS_DATABASE(g_tls_file_database_new(tls_authority_file.c_str(), nullptr));
  }
  this->sweep = this->timers.Every(kSweepPeriod, [this] { this->DropExpired(); });
}

HttpSessionPool::~HttpSessionPool() {
  this->sessions.clear();
  g_clear_object(&this->authorities);
}

std::shared_ptr<HttpSession> HttpSessionPool::Acquire(const std::string& url) {
  const std::string origin = OriginOf(url);
  Sessions& candidates = this->sessions[origin];
  // The first session with room comes first, so that its open connections are used again.
  for (const std::shared_ptr<HttpSession>& candidate : candidates) {
    if (candidate->requests < kMaxRequestsPerSession) {
      candidate->requests += 1;
      return candidate;
    }
  }
  candidates.push_back(std::make_shared<HttpSession>(origin, this->authorities));
  candidates.back()->requests = 1;
  return candidates.back();
}

void HttpSessionPool::Release(HttpSession& session) {
  session.requests -= 1;
  session.last_used = this->timers.Now();
}

void HttpSessionPool::DropExpired() {
  const MonotonicTime latest = this->timers.Now() - kIdleTime;
  for (auto& [origin, candidates] : this->sessions) {
    std::erase_if(candidates, [latest](const auto& session) {
      return session->requests == 0 && session->last_used < latest;
    });
  }
  std::erase_if(this->sessions, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace lentilhead::framework::internal
