#pragma once

#include <string>
#include <utility>
#include <vector>

#include "endpoint/types/route_request.h"
#include "framework/types/time_types.h"

namespace lentilhead::online::internal {

/// A request as it is sent to an endpoint.
struct OutboundRequest {
  std::string request_id;
  std::string method;
  std::string path;  ///< Includes the query string.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string content_type;
  std::string body;
  endpoint::RouteRequest route;
  std::chrono::milliseconds head_timeout{30'000};  ///< Longest wait for the headers of the answer.
  std::chrono::milliseconds data_timeout{30'000};  ///< Longest pause within the body of the answer.
};

}  // namespace lentilhead::online::internal
