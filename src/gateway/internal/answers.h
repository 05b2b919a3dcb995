#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// Makes an error response of the node itself, with the reason in a JSON body.
[[nodiscard]] net::Response MakeErrorResponse(net::http::status status, std::string_view reason);

/// Makes the response to a request that has not run and will not run.
/// @param retry_after delay after which the caller may retry.
/// @param status one that promises this to the caller.
[[nodiscard]] net::Response MakeRefusalResponse(
    std::string_view reason, std::chrono::milliseconds retry_after,
    net::http::status status = net::http::status::service_unavailable);

}  // namespace lentilhead::gateway
