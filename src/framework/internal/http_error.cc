#include "framework/http_error.h"

#include <nlohmann/json.hpp>

namespace lentilhead::framework {

std::string RenderHttpError(const HttpError& error) {
  nlohmann::json body;
  body["error"] = {{"type", error.type}, {"code", error.code}, {"message", error.message}};
  if (!error.outcome.empty()) {
    body["error"]["outcome"] = error.outcome;
  }
  if (error.retry_after) {
    body["error"]["retry_after_ms"] = error.retry_after->count();
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void RespondError(HttpExchange& exchange, const HttpError& error) {
  if (error.retry_after) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retry_after);
    exchange.SetHeader("Retry-After", std::to_string(seconds.count()));
  }
  if (!error.outcome.empty()) {
    exchange.SetHeader("X-Outcome", error.outcome);
  }
  exchange.Respond(error.status, "application/json", RenderHttpError(error));
}

void RespondJson(HttpExchange& exchange, int status, std::string_view body) {
  exchange.Respond(status, "application/json", body);
}

}  // namespace lentilhead::framework
