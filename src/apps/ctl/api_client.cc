#include "apps/ctl/api_client.h"

#include <glib.h>

#include <optional>

namespace lentilhead::apps::ctl {

namespace {

using framework::HttpFailure;
using framework::HttpResponse;
using framework::Reply;

constexpr std::chrono::milliseconds kTimeout{60'000};
constexpr int kServiceUnavailable = 503;

bool WasNotRun(const HttpResponse& response) {
  return response.head.status == kServiceUnavailable &&
         response.head.Header("x-outcome").value_or("") == "not_run";
}

}  // namespace

ApiClient::ApiClient(std::vector<std::string> urls, std::string key)
    : urls(std::move(urls)),
      key(std::move(key)),
      timers(framework::TimerService::OnMainContext(nullptr)),
      http(*this->timers) {}

Reply<HttpResponse, ApiFailure> ApiClient::Send(const ApiRequest& request) {
  ApiFailure failure{false, "no URL is given"};
  std::optional<HttpResponse> refusal;
  for (std::size_t attempt = 0; attempt < this->urls.size(); ++attempt) {
    const std::size_t index = (this->preferred + attempt) % this->urls.size();
    auto reply = this->SendTo(this->urls[index], request);
    if (reply && !WasNotRun(reply.Value())) {
      this->preferred = index;
      return reply.Value();
    }
    if (reply) {
      refusal = reply.Value();
      continue;
    }
    failure.detail = this->urls[index] + ": " + framework::NameOf(reply.Error().kind);
    failure.request_started = failure.request_started || reply.Error().request_started;
    if (reply.Error().request_started && !request.idempotent) {
      return failure;
    }
  }
  if (refusal) {
    return *refusal;
  }
  return failure;
}

Reply<HttpResponse, HttpFailure> ApiClient::SendTo(const std::string& url,
                                                   const ApiRequest& request) {
  framework::HttpRequest sent;
  sent.method = request.method;
  sent.url = url + request.path;
  sent.headers = request.headers;
  if (!this->key.empty()) {
    sent.headers.emplace_back("Authorization", "Bearer " + this->key);
  }
  sent.content_type = request.content_type;
  sent.body = request.body;
  sent.timeout = kTimeout;
  std::optional<Reply<HttpResponse, HttpFailure>> answer;
  const framework::HttpCall call =
      this->http.Send(std::move(sent),
                      [&answer](const Reply<HttpResponse, HttpFailure>& reply) { answer = reply; });
  while (!answer) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return *answer;
}

void ApiClient::Sleep(std::chrono::milliseconds time) {
  bool over = false;
  const framework::TimerSubscription wake = this->timers->After(time, [&over] { over = true; });
  while (!over) {
    g_main_context_iteration(nullptr, TRUE);
  }
}

}  // namespace lentilhead::apps::ctl
