#pragma once

#include <nlohmann/json.hpp>

#include "batch/types/partial_answer.h"

namespace lentilhead::batch::internal {

/// Returns the partial answer if the request leaves tokens to generate after it; otherwise an empty
/// one, so that the item starts again.
PartialAnswer ContinuationOf(const nlohmann::json& body, const PartialAnswer& partial);

/// Changes a chat request so that the endpoint continues a partial answer and generates only the
/// tokens that are left.
void ApplyContinuation(nlohmann::json& body, const PartialAnswer& partial);

}  // namespace lentilhead::batch::internal
