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

/// The callers' HTTP interface to batch jobs: submit, status, list, results and cancel.
///
/// All state is in the platform's services, so any instance answers for any job. A job of another
/// caller is answered like one that does not exist.
class JobApi {
 public:
  /// Returns the name of the authenticated caller, or no value after it has answered the exchange.
  using Authenticator =
      std::function<std::optional<std::string>(const std::shared_ptr<framework::HttpExchange>&)>;

  /// Every reference is to an object of the calling task and must outlive this object.
  JobApi(const BatchSettings& settings, const endpoint::EndpointSettings& services,
         datastore::TableClient& table, datastore::ObjectStoreClient& objects,
         datastore::ResolvedWriter& writer, framework::TimerService& timers,
         framework::Metrics& metrics);
  JobApi(const JobApi&) = delete;
  JobApi& operator=(const JobApi&) = delete;
  ~JobApi();

  /// Registers `/v1/jobs` and everything below it. This object must outlive the router.
  void RegisterRoutes(framework::HttpRouter& router, Authenticator authenticator);

  /// Submissions being received and results being sent, for a graceful shutdown.
  [[nodiscard]] std::size_t OpenExchanges() const;

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::batch
