#pragma once

#include <libsoup/soup.h>

#include <memory>
#include <string>
#include <vector>

#include "framework/internal/http_session_pool.h"
#include "framework/timer_service.h"
#include "framework/types/http_message.h"
#include "framework/types/http_stream_handlers.h"

namespace lentilhead::framework::internal {

/// State of one request of an HttpClient; keeps itself alive while libsoup works on it.
class HttpCallState : public std::enable_shared_from_this<HttpCallState> {
 public:
  HttpCallState(TimerService& timers, std::weak_ptr<HttpSessionPool> pool, HttpRequest request,
                HttpStreamHandlers handlers);
  HttpCallState(const HttpCallState&) = delete;
  HttpCallState& operator=(const HttpCallState&) = delete;
  ~HttpCallState();

  void Start();
  void Cancel();

 private:
  static void HandleStarting(SoupMessage* message, gpointer self);
  static void HandleRestarted(SoupMessage* message, gpointer self);
  void SetBody();
  static void HandleResponse(GObject* session, GAsyncResult* result, gpointer data);

  static void HandleNetworkEvent(SoupMessage* message, GSocketClientEvent event,
                                 GIOStream* connection, gpointer self);

  /// libsoup takes an end of the connection between two chunks for the end of the body.
  [[nodiscard]] bool IsCutShort() const;

  void ArmTimeout(std::chrono::milliseconds delay);
  void ReadAvailable();
  void WatchSocket();
  void FinishBody();
  void FailFrom(GError* error);
  void Finish(std::optional<HttpFailure> failure);
  void ReleaseSession();
  [[nodiscard]] HttpResponseHead ReadHead() const;

  TimerService& timers;
  std::weak_ptr<HttpSessionPool> pool;
  std::shared_ptr<HttpSession> session;
  std::shared_ptr<GSocket> socket;
  HttpRequest request;
  HttpStreamHandlers handlers;
  SoupMessage* message = nullptr;
  GCancellable* cancellable;
  GInputStream* stream = nullptr;
  std::uint64_t watch = 0;
  TimerSubscription timeout;
  std::vector<char> buffer;
  bool request_started = false;
  bool timed_out = false;
  bool finished = false;
};

}  // namespace lentilhead::framework::internal
