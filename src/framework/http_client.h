#pragma once

#include <functional>
#include <memory>
#include <string>

#include "framework/http_call.h"
#include "framework/result.h"
#include "framework/timer_service.h"
#include "framework/types/http_message.h"
#include "framework/types/http_stream_handlers.h"

namespace lentilhead::framework {

namespace internal {
class HttpSessionPool;
}

/// HTTP client of one task, on libsoup. Keeps connections open between requests,
/// but for those that ask for one of their own.
class HttpClient {
 public:
  using ResponseHandler = std::function<void(Reply<HttpResponse, HttpFailure>)>;

  /// Must be created on the thread of the task that uses it.
  /// @param timers timer service of that task; must outlive the client.
  /// @param tls_authority_file PEM file of trusted authorities; empty trusts the system's.
  explicit HttpClient(TimerService& timers, const std::string& tls_authority_file = "");
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Sends a request and reads the whole response.
  [[nodiscard]] HttpCall Send(HttpRequest request, ResponseHandler handler);

  /// Sends a request and hands over the response piece by piece.
  [[nodiscard]] HttpCall Stream(HttpRequest request, HttpStreamHandlers handlers);

 private:
  TimerService& timers;
  std::shared_ptr<internal::HttpSessionPool> pool;
};

}  // namespace lentilhead::framework
