#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "datastore/instance_list_client.h"
#include "framework/http_client.h"

namespace lentilhead::control::internal {

/// Collects the endpoints of all services and asks each for its load report.
class EndpointCollector : public std::enable_shared_from_this<EndpointCollector> {
 public:
  /// @param endpoints one object per listed endpoint.
  /// @param unlisted names of the services whose endpoint list could not be read.
  using Handler = std::function<void(nlohmann::json endpoints, nlohmann::json unlisted)>;

  EndpointCollector(datastore::InstanceListClient& list, framework::HttpClient& http,
                    Handler handler);

  /// Collects the endpoints of the services and calls the handler once, at the end.
  void Collect(const std::vector<std::string>& services);

 private:
  void OnListed(const std::string& service,
                const std::vector<datastore::ListedInstance>& endpoints);
  void RequestLoad(std::size_t index, const std::string& address);
  void OnRequestEnded();

  datastore::InstanceListClient& list;
  framework::HttpClient& http;
  Handler handler;
  std::size_t pending_requests = 0;
  nlohmann::json endpoints = nlohmann::json::array();
  nlohmann::json unlisted = nlohmann::json::array();
  std::vector<framework::HttpCall> calls;
};

}  // namespace lentilhead::control::internal
