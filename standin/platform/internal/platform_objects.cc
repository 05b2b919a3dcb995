#include <nlohmann/json.hpp>

#include "standin/platform/internal/table_path.h"
#include "standin/platform/platform_server.h"

namespace lentilhead::standin {

namespace {

using Exchange = std::shared_ptr<framework::HttpExchange>;

void Answer(const Exchange& exchange, int status, std::string_view body) {
  if (exchange != nullptr) {
    exchange->Respond(status, status < 300 ? "application/octet-stream" : "application/xml", body);
  }
}

}  // namespace

void PlatformServer::HandleObject(const Exchange& exchange) {
  const std::string key = internal::Unescape(exchange->Path());
  const std::string_view method = exchange->Method();
  if (method == "PUT") {
    std::string body(exchange->Body());
    this->Serve(this->object_service, true, exchange, [=, this](const Exchange& answered) {
      this->stats["objects put"] += 1;
      this->objects[key] = body;
      Answer(answered, 200, "");
    });
    return;
  }
  if (method == "DELETE") {
    this->Serve(this->object_service, true, exchange, [=, this](const Exchange& answered) {
      this->stats["objects delete"] += 1;
      this->objects.erase(key);
      Answer(answered, 204, "");
    });
    return;
  }
  if (method != "GET") {
    return Answer(exchange, 405, "<Error><Code>MethodNotAllowed</Code></Error>");
  }
  this->Serve(this->object_service, false, exchange, [=, this](const Exchange& answered) {
    this->stats["objects get"] += 1;
    const auto found = this->objects.find(key);
    if (found == this->objects.end()) {
      return Answer(answered, 404, "<Error><Code>NoSuchKey</Code></Error>");
    }
    Answer(answered, 200, found->second);
  });
}

void PlatformServer::HandleList(const Exchange& exchange) {
  const std::string selector = exchange->Query("labelSelector").value_or("");
  const std::size_t equals = selector.find('=');
  const std::string service = equals < selector.size() ? selector.substr(equals + 1) : "";
  this->Serve(this->list_service, false, exchange, [=, this](const Exchange& answered) {
    this->stats["list read"] += 1;
    nlohmann::json items = nlohmann::json::array();
    for (const ListEntry& entry : this->list.VisibleEntries(service, this->timers.Now())) {
      const std::size_t colon = entry.address.rfind(':');
      const bool leaving = entry.state == ListState::kLeaving;
      const int port = std::atoi(entry.address.substr(colon + 1).c_str());
      items.push_back(
          {{"metadata",
            {{"name", service + "-" + entry.name},
             {"labels", {{"kubernetes.io/service-name", service}}}}},
           {"addressType", "IPv4"},
           {"ports", {{{"name", "http"}, {"protocol", "TCP"}, {"port", port}}}},
           {"endpoints",
            {{{"addresses", {entry.address.substr(0, colon)}},
              {"conditions", {{"ready", !leaving}, {"serving", true}, {"terminating", leaving}}},
              {"zone", entry.zone},
              {"targetRef", {{"kind", "Pod"}, {"name", entry.name}}}}}}});
    }
    const nlohmann::json body = {{"kind", "EndpointSliceList"},
                                 {"apiVersion", "discovery.k8s.io/v1"},
                                 {"metadata", nlohmann::json::object()},
                                 {"items", items}};
    answered->Respond(200, "application/json", body.dump());
  });
}

}  // namespace lentilhead::standin
