#pragma once

#include <memory>
#include <string>

#include "framework/http_exchange.h"
#include "standin/engine/internal/completion_job.h"

namespace lentilhead::standin {

/// A waiting or running request.
struct EngineRequest {
  std::shared_ptr<framework::HttpExchange> exchange;
  std::string request_class;
  std::string idempotency_key;
  std::unique_ptr<CompletionJob> completion;  ///< Null for a call of a plain service.
  bool fails = false;
  bool crashes = false;
  bool running = false;
  bool finished = false;
  int cut_after_tokens = 0;  ///< 0 if the answer is not cut.
};

}  // namespace lentilhead::standin
