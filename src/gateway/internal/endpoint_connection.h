#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway/types/answer_limits.h"
#include "gateway/types/endpoint_state.h"
#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// A connection to an endpoint. It carries one request at a time.
struct EndpointConnection {
  EndpointConnection(const net::asio::any_io_executor& executor,
                     std::shared_ptr<EndpointState> endpoint)
      : stream(executor), endpoint(std::move(endpoint)) {}
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  net::beast::tcp_stream stream;
  net::beast::flat_buffer buffer{AnswerLimits::kMaxFramingBytes};
  std::shared_ptr<EndpointState> endpoint;
  std::optional<net::asio::ip::address> through;  ///< peer that the connection leads through
  bool is_written = true;                         ///< the last request has been written completely
  bool is_reused = false;                         ///< has carried an earlier request
  std::size_t answers = 0;                        ///< whole answers to earlier requests
  std::string request;                            ///< id of the current or the last request
  std::string earlier_request;                    ///< id of the request before
  net::SteadyTime sent_at;                        ///< when the current request was sent
  net::SteadyTime idle_since;
  std::chrono::milliseconds idle_before{0};    ///< idle time before the current request
  std::chrono::milliseconds idle_limit{1000};  ///< not reused after this idle time
};

}  // namespace lentilhead::gateway::internal
