#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "framework/http_client.h"
#include "framework/result.h"
#include "framework/timer_service.h"

namespace lentilhead::apps::ctl {

/// Request to a listener for callers or operators.
struct ApiRequest {
  std::string method = "GET";
  std::string path;  ///< Path and query.
  std::string body;
  std::string content_type;
  std::vector<std::pair<std::string, std::string>> headers;
  bool idempotent = true;  ///< May be sent to the next URL if the outcome is unknown.
};

/// Failure of a request without an answer from any URL.
struct ApiFailure {
  bool request_started = false;  ///< True if the request may have taken effect.
  std::string detail;
};

/// HTTP client that sends each request to the first URL that answers. Its calls block.
class ApiClient {
 public:
  /// @param urls base URLs in order of preference. @param key access key.
  ApiClient(std::vector<std::string> urls, std::string key);

  /// Sends a request and waits for the answer. Tries the next URL if one cannot be reached or
  /// answers that the request was not run.
  framework::Reply<framework::HttpResponse, ApiFailure> Send(const ApiRequest& request);

  /// Waits while the main context keeps running.
  void Sleep(std::chrono::milliseconds time);

  [[nodiscard]] bool HasUrl() const { return !this->urls.empty(); }

 private:
  framework::Reply<framework::HttpResponse, framework::HttpFailure> SendTo(
      const std::string& url, const ApiRequest& request);

  std::vector<std::string> urls;
  std::string key;
  std::unique_ptr<framework::TimerService> timers;
  framework::HttpClient http;
  std::size_t preferred = 0;
};

}  // namespace lentilhead::apps::ctl
