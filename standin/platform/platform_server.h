#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "framework/http_router.h"
#include "framework/http_server.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"
#include "framework/token_bucket.h"
#include "standin/platform/lagging_list.h"
#include "standin/platform/memory_table.h"
#include "standin/platform/types/fault.h"
#include "standin/platform/types/platform_server_options.h"
#include "standin/platform/weight_store.h"

namespace lentilhead::standin {

/// Simulated platform over HTTP: a table, an object store, a lagging instance list and a weight
/// store, into which tests can inject faults.
///
/// It runs on the calling thread's default main context, so tests can embed it.
class PlatformServer {
 public:
  /// @param timers timer service of the thread; must outlive the server.
  PlatformServer(PlatformServerOptions options, framework::TimerService& timers);
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  ~PlatformServer();

  /// Starts to listen. @return the port, or an HttpServerError.
  framework::Result<std::uint16_t> Listen();

  [[nodiscard]] std::string TableUrl() const { return this->url + "/table/lentilhead"; }
  [[nodiscard]] std::string ObjectUrl() const { return this->url + "/objects/lentilhead"; }
  [[nodiscard]] std::string ListUrl() const { return this->url; }
  [[nodiscard]] std::string WeightUrl() const { return this->url + "/weights"; }
  [[nodiscard]] const std::string& Url() const { return this->url; }

  [[nodiscard]] MemoryTable& Table() { return this->table; }
  [[nodiscard]] std::map<std::string, std::string>& Objects() { return this->objects; }

  /// Changes a service's instance list. The change becomes visible after the lag.
  void ChangeList(const std::string& service, ListEntry entry);

  /// Sets the faults of one platform service.
  void SetFault(FaultTarget target, const Fault& fault);

  /// Returns the number of executed requests by `service operation[ partition prefix]`, and of
  /// throttled, aborted and unanswered requests by service.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Stats() const { return this->stats; }

 private:
  using Exchange = std::shared_ptr<framework::HttpExchange>;
  /// Executes a request, then answers it if the exchange is not null.
  using Effect = std::function<void(const Exchange&)>;

  struct Service {
    Service(const char* name, double writes_per_second, double reads_per_second);

    const char* name;
    Fault fault;
    framework::TokenBucket writes;
    framework::TokenBucket reads;
  };

  void AddRoutes();

  /// Executes a request under the faults and the rate limit of its service.
  void Serve(Service& service, bool is_write, const Exchange& exchange, Effect effect);
  void RunEffect(Service& service, bool is_write, const Exchange& exchange, const Effect& effect);
  void RunLater(std::chrono::milliseconds delay, std::function<void()> callback);

  void HandleTable(const Exchange& exchange);
  void InsertEntity(const Exchange& exchange);
  void ChangeEntity(const Exchange& exchange);
  void ReadEntity(const Exchange& exchange);
  void QueryEntities(const Exchange& exchange);
  void HandleObject(const Exchange& exchange);
  void HandleList(const Exchange& exchange);
  void HandleWeights(const Exchange& exchange);
  void HandleListChange(const Exchange& exchange);
  void HandleFaults(const Exchange& exchange);
  void HandleStats(const Exchange& exchange);

  PlatformServerOptions options;
  framework::TimerService& timers;
  framework::Metrics metrics;
  framework::HttpRouter router;
  framework::HttpServer server;
  std::string url;
  MemoryTable table;
  std::map<std::string, std::string> objects;
  LaggingList list;
  Service table_service;
  Service object_service;
  Service list_service;
  Service weight_service;
  WeightStore weights;
  std::map<std::string, std::uint64_t> stats;
  std::map<std::uint64_t, framework::TimerSubscription> delayed_calls;
  std::uint64_t next_delayed_id = 1;
};

}  // namespace lentilhead::standin
