#pragma once

#include <gio/gio.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/internal/http_session.h"
#include "framework/internal/socket_poller.h"
#include "framework/timer_service.h"

namespace lentilhead::framework::internal {

/// Sessions of one task by origin.
///
/// libsoup walks a session's queue and its connections at many events, so one session for all
/// requests costs time that grows with the square of their number, while each session adds a source
/// to the main loop. Sessions with a bounded number of requests keep both small.
class HttpSessionPool {
 public:
  HttpSessionPool(TimerService& timers, const std::string& tls_authority_file);
  HttpSessionPool(const HttpSessionPool&) = delete;
  HttpSessionPool& operator=(const HttpSessionPool&) = delete;
  ~HttpSessionPool();

  /// Returns a session of the URL's origin that can carry one more request.
  std::shared_ptr<HttpSession> Acquire(const std::string& url);

  /// Poller that watches the sockets of streamed responses.
  SocketPoller& Poller() { return this->poller; }

  /// Ends a request of a session.
  void Release(HttpSession& session);

 private:
  using Sessions = std::vector<std::shared_ptr<HttpSession>>;

  void DropExpired();

  TimerService& timers;
  GTlsDatabase* authorities = nullptr;
  std::unordered_map<std::string, Sessions> sessions;
  SocketPoller poller{g_main_context_get_thread_default()};
  TimerSubscription sweep;
};

}  // namespace lentilhead::framework::internal
