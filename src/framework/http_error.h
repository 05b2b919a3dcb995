#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "framework/http_exchange.h"

namespace lentilhead::framework {

/// Typed error of an HTTP answer, rendered in the error format of OpenAI-style APIs.
struct HttpError {
  int status;
  std::string type;     ///< Machine-readable type, such as `invalid_request_error`.
  std::string code;     ///< Machine-readable reason in snake_case.
  std::string message;  ///< For people.
  std::optional<std::chrono::milliseconds> retry_after;
  std::string outcome;  ///< `not_run`, `unknown` or empty.
};

/// Renders the JSON body of an error.
std::string RenderHttpError(const HttpError& error);

/// Answers an exchange with an error; sets `Retry-After` and `X-Outcome` where they apply.
void RespondError(HttpExchange& exchange, const HttpError& error);

/// Answers an exchange with a JSON body.
void RespondJson(HttpExchange& exchange, int status, std::string_view body);

}  // namespace lentilhead::framework
