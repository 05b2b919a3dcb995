#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "datastore/platform_settings.h"
#include "framework/http_client.h"
#include "framework/metrics.h"

namespace lentilhead::datastore::internal {

/// Requests in flight of one platform client; destroying it cancels them.
class PlatformCalls : public std::enable_shared_from_this<PlatformCalls> {
 public:
  using Handler = framework::HttpClient::ResponseHandler;

  PlatformCalls(const PlatformSettings& settings, framework::HttpClient& http)
      : settings(settings), http(http) {}

  /// Sends a request with the settings' key and timeout.
  void Send(framework::HttpRequest request, Handler handler);

  /// Sends a request and counts it and its failure.
  /// @param metrics must outlive the calls. @param operation name of the call in metrics.
  /// @param error_of turns an answer of status 300 and more, or a failure, into an error.
  template <class Error, class ErrorOf>
  void SendCounted(framework::Metrics& metrics, const char* operation,
                   framework::HttpRequest&& request, ErrorOf error_of,
                   std::function<void(framework::Reply<framework::HttpResponse, Error>)> handler) {
    metrics.GetCounter("platform_requests_total", {{"operation", operation}}).Add();
    auto on_reply = [&metrics, operation, error_of, handler = std::move(handler)](auto reply) {
      if (reply && reply.Value().head.status < kFirstErrorStatus) {
        handler(std::move(reply.Value()));
        return;
      }
      Error error = reply ? error_of(reply.Value()) : error_of(reply.Error());
      metrics
          .GetCounter("platform_errors_total",
                      {{"operation", operation}, {"reason", NameOf(error.kind)}})
          .Add();
      handler(std::move(error));
    };
    this->Send(std::move(request), std::move(on_reply));
  }

  [[nodiscard]] const PlatformSettings& Settings() const { return this->settings; }

 private:
  static constexpr int kFirstErrorStatus = 300;

  PlatformSettings settings;
  framework::HttpClient& http;
  std::map<std::uint64_t, framework::HttpCall> calls;
  std::uint64_t next_call = 1;
};

/// Percent-encodes text for a URL. @param allowed characters that stay as they are.
std::string EscapeForUrl(const std::string& text, const char* allowed = "");

}  // namespace lentilhead::datastore::internal
