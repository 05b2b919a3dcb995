#include "framework/internal/json_rpc_codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <utility>

namespace lentilhead {
namespace framework {
namespace internal {

namespace {

/// Hands libjsonrpccpp an answer that has already been received.
class ReplayConnector : public jsonrpc::IClientConnector {
 public:
  explicit ReplayConnector(std::string answer) : answer(std::move(answer)) {}

  void SendRPCMessage(const std::string& /*message*/,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    result = this->answer;
  }

 private:
  std::string answer;
};

}  // namespace

class JsonRpcDispatcher::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* target) override {
    *static_cast<std::string*>(target) = response;
    return true;
  }
};

class JsonRpcDispatcher::Server : public jsonrpc::AbstractServer<JsonRpcDispatcher::Server> {
 public:
  explicit Server(Connector& connector)
      : jsonrpc::AbstractServer<Server>(connector, jsonrpc::JSONRPC_SERVER_V2) {}

  void AddProcedure(const std::string& name, Procedure procedure) {
    this->procedures[name] = std::move(procedure);
    const jsonrpc::Procedure declaration(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                         "message", jsonrpc::JSON_OBJECT, NULL);
    this->bindAndAddMethod(declaration, &Server::Unbound);
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    output = this->procedures.at(procedure.GetProcedureName())(input["message"]);
  }

 private:
  void Unbound(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  std::map<std::string, Procedure> procedures;
};

std::string BuildJsonRpcCall(const std::string& procedure, const Json::Value& params) {
  jsonrpc::BatchCall call;
  call.addCall(procedure, params);
  return call.toString();
}

JsonRpcAnswer ReadJsonRpcAnswer(const std::string& procedure, const Json::Value& params,
                                const std::string& answer) {
  JsonRpcAnswer read;
  try {
    jsonrpc::BatchCall call;
    const int id = call.addCall(procedure, params);
    ReplayConnector connector(answer);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    jsonrpc::BatchResponse answers = client.CallProcedures(call);
    read.valid = true;
    read.refused = answers.hasErrors();
    if (read.refused) {
      read.detail = answers.getErrorMessage(id);
    } else {
      read.result = answers.getResult(id);
    }
  } catch (const jsonrpc::JsonRpcException& error) {
    read.detail = error.GetMessage();
  } catch (const Json::Exception& error) {
    read.detail = error.what();
  }
  return read;
}

JsonRpcDispatcher::JsonRpcDispatcher()
    : connector(new Connector()), server(new Server(*this->connector)) {}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::Add(const std::string& name, Procedure procedure) {
  this->server->AddProcedure(name, std::move(procedure));
}

std::string JsonRpcDispatcher::Handle(const std::string& message) {
  std::string response;
  this->connector->OnRequest(message, &response);
  return response;
}

}  // namespace internal
}  // namespace framework
}  // namespace lentilhead
