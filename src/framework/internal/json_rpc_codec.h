#pragma once

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

// This header and its source are C++14: the headers of libjsonrpccpp 0.7 carry dynamic exception
// specifications, which later standards removed.

namespace lentilhead {
namespace framework {
namespace internal {

/// Result of reading the answer to one call.
struct JsonRpcAnswer {
  bool valid = false;    ///< The answer is a JSON-RPC message.
  bool refused = false;  ///< The answer is a JSON-RPC error.
  Json::Value result;
  std::string detail;
};

/// Builds the message of one call.
std::string BuildJsonRpcCall(const std::string& procedure, const Json::Value& params);

/// Reads the answer to a message that BuildJsonRpcCall() built.
JsonRpcAnswer ReadJsonRpcAnswer(const std::string& procedure, const Json::Value& params,
                                const std::string& answer);

/// Handles JSON-RPC messages with procedures that take one object named `message`.
class JsonRpcDispatcher {
 public:
  using Procedure = std::function<Json::Value(const Json::Value&)>;

  JsonRpcDispatcher();
  JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
  JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;
  ~JsonRpcDispatcher();

  void Add(const std::string& name, Procedure procedure);
  std::string Handle(const std::string& message);

 private:
  class Connector;
  class Server;

  std::unique_ptr<Connector> connector;
  std::unique_ptr<Server> server;
};

}  // namespace internal
}  // namespace framework
}  // namespace lentilhead
