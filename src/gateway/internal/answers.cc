#include "gateway/internal/answers.h"

#include "platform/request_codec.h"

namespace lentilhead::gateway {

net::Response MakeErrorResponse(net::http::status status, std::string_view reason) {
  net::Response response(status, 11);
  response.set(net::http::field::content_type, "application/json");
  response.body() = "{\"error\":\"" + std::string(reason) + "\"}";
  return response;
}

net::Response MakeRefusalResponse(std::string_view reason, std::chrono::milliseconds retry_after,
                                  net::http::status status) {
  net::Response response = MakeErrorResponse(status, reason);
  platform::SetRetryAfter(response, retry_after);
  return response;
}

}  // namespace lentilhead::gateway
