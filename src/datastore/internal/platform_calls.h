#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "datastore/platform_settings.h"
#include "framework/http_client.h"

namespace lentilhead::datastore::internal {

/// Requests in flight of one platform client; destroying it cancels them.
class PlatformCalls : public std::enable_shared_from_this<PlatformCalls> {
 public:
  using Handler = framework::HttpClient::ResponseHandler;

  PlatformCalls(const PlatformSettings& settings, framework::HttpClient& http)
      : settings(settings), http(http) {}

  /// Sends a request with the settings' key and timeout.
  void Send(framework::HttpRequest request, Handler handler);

  [[nodiscard]] const PlatformSettings& Settings() const { return this->settings; }

 private:
  PlatformSettings settings;
  framework::HttpClient& http;
  std::map<std::uint64_t, framework::HttpCall> calls;
  std::uint64_t next_call = 1;
};

/// Percent-encodes text for a URL. @param allowed characters that stay as they are.
std::string EscapeForUrl(const std::string& text, const char* allowed = "");

}  // namespace lentilhead::datastore::internal
