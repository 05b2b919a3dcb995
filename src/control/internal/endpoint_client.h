#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "control/internal/control_action.h"
#include "framework/http_client.h"

namespace lentilhead::control::internal {

/// HTTP client for endpoints: orders, reads of the state, and checks.
class EndpointClient {
 public:
  using ObservedHandler = std::function<void(const std::optional<ObservedState>&)>;
  using ResultHandler = std::function<void(OrderResult)>;
  using CheckHandler = std::function<void(bool passed)>;

  /// @param order_timeout timeout of all requests but loads and checks.
  /// @param load_timeout timeout of load orders and of checks.
  EndpointClient(framework::HttpClient& http, std::chrono::milliseconds order_timeout,
                 std::chrono::milliseconds load_timeout);

  /// Reads the state and, if the endpoint drains, its load report. The handler gets no value if the
  /// endpoint does not answer with a valid state.
  void Observe(const ManagedEndpoint& endpoint, ObservedHandler handler);

  /// Sends an order with a fencing token.
  void Send(const SendOrder& order, std::uint64_t fencing_token, ResultHandler handler);

  /// Requests one token from the loaded model. The check passes if the endpoint answers with status
  /// 200 or 429.
  void Check(const CheckEndpoint& check, CheckHandler handler);

 private:
  using ResponseHandler = framework::HttpClient::ResponseHandler;

  void Request(framework::HttpRequest request, ResponseHandler handler);
  void ObserveLoad(const ManagedEndpoint& endpoint, ObservedState state, ObservedHandler handler);

  framework::HttpClient& http;
  std::chrono::milliseconds order_timeout;
  std::chrono::milliseconds load_timeout;
  std::map<std::uint64_t, framework::HttpCall> calls;
  std::uint64_t next_call = 1;
};

}  // namespace lentilhead::control::internal
