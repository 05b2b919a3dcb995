#include "framework/json_rpc_server.h"

#include <utility>

#include "framework/hash.h"
#include "framework/http_error.h"
#include "framework/internal/json_rpc_codec.h"

namespace lentilhead::framework {

JsonRpcServer::JsonRpcServer(std::string secret)
    : secret(std::move(secret)), dispatcher(std::make_unique<internal::JsonRpcDispatcher>()) {}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::Add(const std::string& name, Procedure procedure) {
  this->dispatcher->Add(name, std::move(procedure));
}

void JsonRpcServer::Register(HttpRouter& router, const std::string& path) {
  router.Add("POST", path, [this](const std::shared_ptr<HttpExchange>& exchange) {
    const std::string expected = "Bearer " + this->secret;
    if (!this->secret.empty() &&
        !EqualInConstantTime(exchange->Header("Authorization").value_or(""), expected)) {
      RespondError(*exchange, {401, "authentication_error", "wrong_secret",
                               "the instance secret is wrong", std::nullopt, "not_run"});
      return;
    }
    const std::string response = this->dispatcher->Handle(std::string(exchange->Body()));
    exchange->Respond(200, "application/json", response);
  });
}

}  // namespace lentilhead::framework
