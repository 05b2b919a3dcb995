#include "online/internal/answer_class.h"

#include <nlohmann/json.hpp>

namespace lentilhead::online::internal {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string ErrorCodeOf(const std::string& body) {
  const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    return "";
  }
  const auto error = answer.find("error");
  const nlohmann::json& holder = error != answer.end() && error->is_object() ? *error : answer;
  const auto code = holder.find("code");
  return code != holder.end() && code->is_string() ? code->get<std::string>() : "";
}

}  // namespace

AnswerClass Classify(int status, const std::string& body, bool engine) {
  if (status < kFirstErrorStatus) {
    return AnswerClass::kAnswer;
  }
  const std::string code = ErrorCodeOf(body);
  if (status == kServiceUnavailable && code == "draining") {
    return AnswerClass::kDraining;
  }
  if (status == kTooManyRequests && code == "busy") {
    return AnswerClass::kBusy;
  }
  if (engine && status == kNotFound && code == "model_not_found") {
    return AnswerClass::kModelNotLoaded;
  }
  if (engine && (status >= kFirstServerError || status == kTooManyRequests)) {
    return AnswerClass::kFailure;
  }
  const bool gateway_failure =
      status == kBadGateway || status == kServiceUnavailable || status == kGatewayTimeout;
  return gateway_failure ? AnswerClass::kFailure : AnswerClass::kAnswer;
}

}  // namespace lentilhead::online::internal
