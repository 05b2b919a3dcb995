#include "datastore/internal/platform_calls.h"

#include <glib.h>

#include <utility>

namespace lentilhead::datastore::internal {

void PlatformCalls::Send(framework::HttpRequest request, Handler handler) {
  request.timeout = this->settings.request_timeout;
  request.idle_timeout = this->settings.request_timeout;
  if (!this->settings.access_key.empty()) {
    request.headers.emplace_back("Authorization", "Bearer " + this->settings.access_key);
  }
  const std::uint64_t id = this->next_call++;
  this->calls[id] = this->http.Send(std::move(request), [weak = this->weak_from_this(), id,
                                                         handler = std::move(handler)](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->calls.erase(id);
    handler(std::move(reply));
  });
}

std::string EscapeForUrl(const std::string& text, const char* allowed) {
  char* escaped = g_uri_escape_string(text.c_str(), allowed, FALSE);
  std::string result(escaped);
  g_free(escaped);
  return result;
}

}  // namespace lentilhead::datastore::internal
