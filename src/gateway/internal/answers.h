#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// Makes a failure of the node's own, with its reason as JSON.
[[nodiscard]] net::Response MakeErrorResponse(net::http::status status, std::string_view reason);

/// Makes the answer of a request that has not run and never will.
/// @param retry_after time after which the caller may come back.
[[nodiscard]] net::Response MakeRefusalResponse(std::string_view reason,
                                                std::chrono::milliseconds retry_after);

}  // namespace lentilhead::gateway
