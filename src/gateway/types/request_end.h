#pragma once

#include <cstdint>
#include <string>

#include "gateway/types/attempt_stage.h"
#include "gateway/types/prompt_keys.h"

namespace lentilhead::gateway {

/// A request that an endpoint held when it ended, before the first event or the whole answer.
struct RequestEnd {
  std::string request_id;
  PromptKeys keys;
  std::uint32_t endpoint = 0;  ///< incarnation of the endpoint
  AttemptStage stage = AttemptStage::kUnanswered;
  bool is_certain = true;  ///< false if only the connection is known to be lost
};

}  // namespace lentilhead::gateway
