#include "framework/http_client.h"

#include <utility>

#include "framework/internal/http_call_state.h"

namespace lentilhead::framework {

std::optional<std::string> HttpResponseHead::Header(const std::string& name) const {
  const auto found = this->headers.find(name);
  if (found == this->headers.end()) {
    return std::nullopt;
  }
  return found->second;
}

const char* NameOf(HttpFailureKind kind) {
  switch (kind) {
    case HttpFailureKind::kInvalidUrl:
      return "invalid_url";
    case HttpFailureKind::kConnectFailed:
      return "connect_failed";
    case HttpFailureKind::kTimeout:
      return "timeout";
    case HttpFailureKind::kConnectionLost:
      return "connection_lost";
    case HttpFailureKind::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

HttpClient::HttpClient(TimerService& timers, const std::string& tls_authority_file)
    : timers(timers),
      pool(std::make_shared<internal::HttpSessionPool>(timers, tls_authority_file)) {}

HttpClient::~HttpClient() = default;

HttpCall HttpClient::Send(HttpRequest request, ResponseHandler handler) {
  const auto response = std::make_shared<HttpResponse>();
  HttpStreamHandlers handlers;
  handlers.on_head = [response](const HttpResponseHead& head) { response->head = head; };
  handlers.on_data = [response](std::string_view data) { response->body.append(data); };
  handlers.on_end = [response, handler = std::move(handler)](std::optional<HttpFailure> failure) {
    if (failure) {
      handler(*std::move(failure));
      return;
    }
    handler(std::move(*response));
  };
  return this->Stream(std::move(request), std::move(handlers));
}

HttpCall HttpClient::Stream(HttpRequest request, HttpStreamHandlers handlers) {
  auto state = std::make_shared<internal::HttpCallState>(this->timers, this->pool,
                                                         std::move(request), std::move(handlers));
  state->Start();
  return HttpCall(std::move(state));
}

HttpCall::HttpCall(std::shared_ptr<internal::HttpCallState> state) : state(std::move(state)) {}

HttpCall::HttpCall(HttpCall&& other) noexcept = default;

HttpCall& HttpCall::operator=(HttpCall&& other) noexcept {
  if (this != &other) {
    this->Cancel();
    this->state = std::move(other.state);
  }
  return *this;
}

HttpCall::~HttpCall() { this->Cancel(); }

void HttpCall::Cancel() {
  if (this->state) {
    this->state->Cancel();
    this->state.reset();
  }
}

}  // namespace lentilhead::framework
