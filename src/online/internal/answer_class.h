#pragma once

#include <string>

namespace lentilhead::online::internal {

/// Class of an endpoint's whole answer; decides between forwarding and a retry.
enum class AnswerClass {
  kAnswer,          ///< Forwarded to the caller.
  kBusy,            ///< The endpoint is busy and did not run the request.
  kDraining,        ///< The endpoint is draining and did not run the request.
  kModelNotLoaded,  ///< The endpoint has not loaded the model and did not run the request.
  kFailure,         ///< The endpoint failed and may have run the request.
};

/// Classifies an answer by its status and the error code in its body.
/// @param engine true for model engines: status 429 and statuses from 500 on are failures unless
/// the code shows a refusal. For other services only 502, 503 and 504 are failures.
AnswerClass Classify(int status, const std::string& body, bool engine);

}  // namespace lentilhead::online::internal
