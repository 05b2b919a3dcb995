#pragma once

#include <json/json.h>

#include <chrono>
#include <functional>
#include <string>

#include "framework/http_call.h"
#include "framework/http_client.h"
#include "framework/result.h"
#include "framework/types/json_rpc_failure.h"

namespace lentilhead::framework {

/// Calls JSON-RPC procedures of other processes of the system without blocking the task.
class JsonRpcClient {
 public:
  using ResultHandler = std::function<void(Reply<Json::Value, JsonRpcFailure>)>;

  /// @param http client of the task; must outlive this object.
  /// @param secret shared secret of the instances, sent as a bearer token; may be empty.
  explicit JsonRpcClient(HttpClient& http, std::string secret = "");

  /// Calls a procedure. @param url address of the peer's JSON-RPC path.
  /// @param timeout until the whole answer.
  [[nodiscard]] HttpCall Call(const std::string& url, const std::string& procedure,
                              const Json::Value& message, std::chrono::milliseconds timeout,
                              ResultHandler handler);

 private:
  HttpClient& http;
  std::string secret;
};

}  // namespace lentilhead::framework
