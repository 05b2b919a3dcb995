#include "batch/internal/continuation.h"

namespace lentilhead::batch::internal {

namespace {

using nlohmann::json;

constexpr const char* kTokenLimits[] = {"max_tokens", "max_completion_tokens"};

}  // namespace

PartialAnswer ContinuationOf(const json& body, const PartialAnswer& partial) {
  for (const char* key : kTokenLimits) {
    const auto limit = body.find(key);
    const bool limited = limit != body.end() && limit->is_number_integer();
    if (limited && limit->get<std::int64_t>() <= partial.tokens) {
      return {};
    }
  }
  return partial;
}

void ApplyContinuation(json& body, const PartialAnswer& partial) {
  for (const char* key : kTokenLimits) {
    const auto limit = body.find(key);
    if (limit != body.end() && limit->is_number_integer()) {
      *limit = limit->get<std::int64_t>() - partial.tokens;
    }
  }
  body["messages"].push_back({{"role", "assistant"}, {"content", partial.text}});
  body["continue_final_message"] = true;
  body["add_generation_prompt"] = false;
}

}  // namespace lentilhead::batch::internal
