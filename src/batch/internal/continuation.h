#pragma once

#include <nlohmann/json.hpp>

#include "batch/types/partial_answer.h"

namespace lentilhead::batch::internal {

/// Returns the partial answer if the token limit of the request leaves tokens to generate after it.
/// Otherwise returns an empty answer, so that the item starts from the beginning.
PartialAnswer ContinuationOf(const nlohmann::json& body, const PartialAnswer& partial);

/// Changes a chat request so that the endpoint continues a partial answer and generates only the
/// remaining tokens.
void ApplyContinuation(nlohmann::json& body, const PartialAnswer& partial);

}  // namespace lentilhead::batch::internal
