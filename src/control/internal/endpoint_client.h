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

/// HTTP calls to the endpoints: orders, reads of the state, and checks.
class EndpointClient {
 public:
  using ObservedHandler = std::function<void(const std::optional<ObservedState>&)>;
  using ResultHandler = std::function<void(OrderResult)>;
  using CheckHandler = std::function<void(bool passed)>;

  /// @param order_timeout until the answer to an order. @param load_timeout the same for a load.
  EndpointClient(framework::HttpClient& http, std::chrono::milliseconds order_timeout,
                 std::chrono::milliseconds load_timeout);

  /// Reads the state and the load report. Takes no value if the endpoint does not answer.
  void Observe(const ManagedEndpoint& endpoint, ObservedHandler handler);

  /// Sends an order with a fencing token.
  void Send(const SendOrder& order, std::uint64_t fencing_token, ResultHandler handler);

  /// Sends a request for one token to the loaded model.
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
