#pragma once

#include <functional>
#include <string>

#include "batch/batch_settings.h"
#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_directory.h"
#include "endpoint/endpoint_settings.h"
#include "fleet/types/fleet_view.h"
#include "framework/http_client.h"
#include "framework/json_rpc_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::batch::internal {

/// Objects that the classes of the batch module share. Each reference must outlive the module.
struct BatchParts {
  const BatchSettings& settings;
  const endpoint::EndpointSettings& services;
  std::string instance;  ///< Name of this instance.
  std::string run;       ///< `instance/run`, unique to this process.
  datastore::TableClient& table;
  datastore::ObjectStoreClient& objects;
  datastore::ResolvedWriter& writer;
  endpoint::EndpointDirectory& directory;
  framework::HttpClient& http;
  framework::JsonRpcClient& rpc;
  framework::TimerService& timers;
  framework::Metrics& metrics;
  std::function<std::string(const std::string& model)> translate_model = {};
};

/// Returns the URL of an instance's batch procedures; empty if the view does not list the instance.
std::string PeerUrl(const fleet::FleetView& view, const std::string& instance);

}  // namespace lentilhead::batch::internal
