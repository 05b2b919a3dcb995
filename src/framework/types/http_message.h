#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilhead::framework {

/// Request of an HttpClient.
struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string content_type;
  std::string body;
  std::chrono::milliseconds timeout{10'000};       ///< Until the headers of the response.
  std::chrono::milliseconds idle_timeout{60'000};  ///< Between two pieces of the body.
  /// Uses a connection of its own, which carries no other request and is closed after the response.
  /// Any other request may be sent again if an idle connection turns out to be closed, so a request
  /// that must not run twice sets this.
  bool new_connection = false;
};

/// Status and headers of a response.
struct HttpResponseHead {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.

  [[nodiscard]] std::optional<std::string> Header(const std::string& name) const;
};

/// Whole response.
struct HttpResponse {
  HttpResponseHead head;
  std::string body;
};

enum class HttpFailureKind { kInvalidUrl, kConnectFailed, kTimeout, kConnectionLost, kCancelled };

/// Failure below HTTP.
struct HttpFailure {
  HttpFailureKind kind;
  bool request_started = true;  ///< False if no byte of the request was written.
  std::string detail;
};

/// Name of a failure kind in snake_case, for logs and counters.
const char* NameOf(HttpFailureKind kind);

}  // namespace lentilhead::framework
