#pragma once

#include <memory>
#include <string>

#include "gateway/types/endpoint_state.h"
#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// A connection to an endpoint, which carries one request at a time.
struct EndpointConnection {
  EndpointConnection(const net::asio::any_io_executor& executor,
                     std::shared_ptr<EndpointState> endpoint)
      : stream(executor), endpoint(std::move(endpoint)) {}
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  net::beast::tcp_stream stream;
  net::beast::flat_buffer buffer;
  std::shared_ptr<EndpointState> endpoint;
  bool is_written = true;   ///< no request is being written
  bool is_reused = false;   ///< has carried a request before
  net::SteadyTime sent_at;  ///< when the present request was sent
  net::SteadyTime idle_since;
  std::chrono::milliseconds idle_before{0};    ///< pause before the present request
  std::chrono::milliseconds idle_limit{1000};  ///< reuse ends after so long a pause
};

}  // namespace lentilhead::gateway::internal
