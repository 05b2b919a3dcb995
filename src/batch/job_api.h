#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "batch/batch_settings.h"
#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_settings.h"
#include "framework/http_router.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::batch {

/// HTTP interface of batch jobs for callers: submit, status, list, results and cancel.
///
/// All state is stored in the platform's services, so that any instance can answer requests for any
/// job. A request for another caller's job is answered as if the job did not exist.
class JobApi {
 public:
  /// Returns the name of the authenticated caller. If there is none, it responds to the exchange
  /// and returns no value.
  using Authenticator =
      std::function<std::optional<std::string>(const std::shared_ptr<framework::HttpExchange>&)>;

  /// Each referenced object must belong to the calling task and outlive this object.
  JobApi(const BatchSettings& settings, const endpoint::EndpointSettings& services,
         datastore::TableClient& table, datastore::ObjectStoreClient& objects,
         datastore::ResolvedWriter& writer, framework::TimerService& timers,
         framework::Metrics& metrics);
  JobApi(const JobApi&) = delete;
  JobApi& operator=(const JobApi&) = delete;
  ~JobApi();

  /// Registers `/v1/jobs` and everything below it. This object must outlive the router.
  void RegisterRoutes(framework::HttpRouter& router, Authenticator authenticator);

  /// Number of submissions in progress, for a graceful shutdown.
  [[nodiscard]] std::size_t OpenExchanges() const;

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::batch
