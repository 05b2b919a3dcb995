#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

#include "framework/http_router.h"

namespace lentilhead::framework {

namespace internal {
class JsonRpcDispatcher;
}

/// JSON-RPC 2.0 procedures of one task, served at a path of its HTTP router.
///
/// libjsonrpccpp builds and handles the messages; libsoup carries them.
class JsonRpcServer {
 public:
  using Procedure = std::function<Json::Value(const Json::Value& message)>;

  /// @param secret shared secret of the instances, required as a bearer token; empty for none.
  explicit JsonRpcServer(std::string secret = "");
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;
  ~JsonRpcServer();

  /// Adds a procedure that takes and returns one JSON object.
  void Add(const std::string& name, Procedure procedure);

  /// Serves the procedures with POST at a path; this object must outlive the router.
  void Register(HttpRouter& router, const std::string& path);

 private:
  std::string secret;
  std::unique_ptr<internal::JsonRpcDispatcher> dispatcher;
};

}  // namespace lentilhead::framework
