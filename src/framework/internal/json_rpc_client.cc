#include "framework/json_rpc_client.h"

#include <utility>

#include "framework/internal/json_rpc_codec.h"

namespace lentilhead::framework {

namespace {

Reply<Json::Value, JsonRpcFailure> ReadAnswer(const std::string& procedure,
                                              const Json::Value& params,
                                              const HttpResponse& response) {
  if (response.head.status != 200) {
    return JsonRpcFailure{JsonRpcFailureKind::kRefused, std::to_string(response.head.status)};
  }
  const internal::JsonRpcAnswer answer =
      internal::ReadJsonRpcAnswer(procedure, params, response.body);
  if (!answer.valid) {
    return JsonRpcFailure{JsonRpcFailureKind::kInvalidAnswer, answer.detail};
  }
  if (answer.refused) {
    return JsonRpcFailure{JsonRpcFailureKind::kRefused, answer.detail};
  }
  return answer.result;
}

JsonRpcFailure FromHttp(const HttpFailure& failure) {
  const auto kind = failure.request_started ? JsonRpcFailureKind::kDeliveryUnknown
                                            : JsonRpcFailureKind::kNotDelivered;
  return {kind, NameOf(failure.kind)};
}

}  // namespace

JsonRpcClient::JsonRpcClient(HttpClient& http, std::string secret)
    : http(http), secret(std::move(secret)) {}

HttpCall JsonRpcClient::Call(const std::string& url, const std::string& procedure,
                             const Json::Value& message, std::chrono::milliseconds timeout,
                             ResultHandler handler) {
  Json::Value params(Json::objectValue);
  params["message"] = message;
  HttpRequest request;
  request.method = "POST";
  request.url = url;
  request.content_type = "application/json";
  request.body = internal::BuildJsonRpcCall(procedure, params);
  request.timeout = timeout;
  request.idle_timeout = timeout;
  if (!this->secret.empty()) {
    request.headers.emplace_back("Authorization", "Bearer " + this->secret);
  }
  return this->http.Send(std::move(request), [procedure, params, handler = std::move(handler)](
                                                 Reply<HttpResponse, HttpFailure> reply) {
    if (!reply) {
      handler(FromHttp(reply.Error()));
      return;
    }
    handler(ReadAnswer(procedure, params, reply.Value()));
  });
}

}  // namespace lentilhead::framework
