#include "datastore/instance_list_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "datastore/internal/platform_calls.h"

namespace lentilhead::datastore {

using framework::HttpResponse;

namespace {

constexpr int kOk = 200;
constexpr const char* kPath = "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";

ListedInstance ReadEndpoint(const nlohmann::json& endpoint, int port) {
  ListedInstance instance;
  instance.address = endpoint.at("addresses").at(0).get<std::string>() + ":" + std::to_string(port);
  instance.name = endpoint.at("targetRef").at("name").get<std::string>();
  instance.zone = endpoint.value("zone", "");
  const nlohmann::json conditions = endpoint.value("conditions", nlohmann::json::object());
  const bool leaving = conditions.value("terminating", false) || !conditions.value("ready", true);
  instance.state = leaving ? ListedState::kLeaving : ListedState::kLive;
  return instance;
}

/// Reads the endpoints of every slice. @return no value if the list is malformed.
std::optional<std::vector<ListedInstance>> ReadSlices(const std::string& body) {
  std::vector<ListedInstance> instances;
  try {
    const auto list = nlohmann::json::parse(body);
    for (const nlohmann::json& slice : list.at("items")) {
      const nlohmann::json& endpoints = slice.at("endpoints");
      if (endpoints.empty()) {
        continue;
      }
      const int port = slice.at("ports").at(0).at("port").get<int>();
      for (const nlohmann::json& endpoint : endpoints) {
        instances.push_back(ReadEndpoint(endpoint, port));
      }
    }
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return instances;
}

}  // namespace

class InstanceListClient::State : public internal::PlatformCalls {
 public:
  using PlatformCalls::PlatformCalls;
};

InstanceListClient::InstanceListClient(const PlatformSettings& settings,
                                       framework::HttpClient& http)
    : state(std::make_shared<State>(settings, http)) {}

InstanceListClient::~InstanceListClient() = default;

void InstanceListClient::Fetch(const std::string& service, ListHandler handler) {
  const std::string selector = internal::EscapeForUrl("kubernetes.io/service-name=" + service, "/");
  const std::string url = this->state->Settings().list_url + kPath + "?labelSelector=" + selector;
  this->state->Send({.method = "GET", .url = url}, [handler = std::move(handler)](auto reply) {
    if (!reply) {
      handler(ListError{ListErrorKind::kUnavailable, reply.Error().detail});
      return;
    }
    const HttpResponse& response = reply.Value();
    if (response.head.status != kOk) {
      handler(
          ListError{ListErrorKind::kUnavailable, "status " + std::to_string(response.head.status)});
      return;
    }
    auto instances = ReadSlices(response.body);
    if (!instances) {
      handler(ListError{ListErrorKind::kInvalidAnswer, "the list cannot be read"});
      return;
    }
    handler(*std::move(instances));
  });
}

}  // namespace lentilhead::datastore
