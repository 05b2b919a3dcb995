#pragma once

#include <string>

#include "framework/types/http_message.h"

namespace lentilhead::endpoint {

/// Makes a GET request to an endpoint. It has a connection of its own, because an endpoint may send
/// an answer once more in the place of the next one.
/// @param address `ip:port` of the endpoint.
/// @param path includes the query string.
/// @return the request, for the caller to complete.
[[nodiscard]] framework::HttpRequest RequestTo(const std::string& address, const std::string& path);

}  // namespace lentilhead::endpoint
