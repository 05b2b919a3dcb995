#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway/types/answer_limits.h"
#include "gateway/types/endpoint_state.h"
#include "gateway/types/request_write.h"
#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// A connection to an endpoint. It carries one request, so that no byte on it belongs to another.
struct EndpointConnection {
  EndpointConnection(const net::asio::any_io_executor& executor,
                     std::shared_ptr<EndpointState> endpoint)
      : stream(executor), endpoint(std::move(endpoint)), write_ended(executor) {}
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  net::beast::tcp_stream stream;
  net::beast::flat_buffer buffer{AnswerLimits::kMaxFramingBytes};
  std::shared_ptr<EndpointState> endpoint;
  std::optional<net::asio::ip::address> through;  ///< peer that the connection leads through
  RequestWrite write = RequestWrite::kPending;    ///< of the request
  net::asio::steady_timer write_ended;            ///< cancelled at the end of the write
  std::string request;                            ///< id of the request
  net::SteadyTime sent_at;                        ///< when the request was sent
  net::SteadyTime idle_since;                     ///< end of the answer
};

}  // namespace lentilhead::gateway::internal
