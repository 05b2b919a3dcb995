#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "datastore/platform_settings.h"
#include "datastore/types/list_error.h"
#include "datastore/types/listed_instance.h"
#include "framework/http_client.h"
#include "framework/result.h"

namespace lentilhead::datastore {

/// Client of the platform's lagging list (Kubernetes EndpointSlice API).
class InstanceListClient {
 public:
  using ListHandler = std::function<void(framework::Reply<std::vector<ListedInstance>, ListError>)>;

  InstanceListClient(const PlatformSettings& settings, framework::HttpClient& http);
  InstanceListClient(const InstanceListClient&) = delete;
  InstanceListClient& operator=(const InstanceListClient&) = delete;
  ~InstanceListClient();

  /// Reads the list of one service; the instances of lentilhead are the service `lentilhead`.
  void Fetch(const std::string& service, ListHandler handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::datastore
