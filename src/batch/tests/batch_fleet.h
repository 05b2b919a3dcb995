#pragma once

#include <memory>
#include <string>
#include <vector>

#include "batch/batch_module.h"
#include "batch/job_api.h"
#include "batch/tests/stub_engine.h"
#include "datastore/write_budget.h"
#include "framework/http_server.h"
#include "framework/json_rpc_server.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::batch {

/// Batch processes and job APIs of several instances on one main context, with the stand-in of the
/// platform and stub engines.
class BatchFleet {
 public:
  BatchFleet(int instances, int engines, std::chrono::milliseconds answer_time = {}, int slots = 8);
  ~BatchFleet();

  /// Sends a request to the job API of an instance and waits for the response.
  framework::HttpResponse Call(std::size_t instance, const std::string& method,
                               const std::string& path, const std::string& body = "",
                               const std::string& key = "", const std::string& caller = "staff");

  /// Submits `items` lines whose texts are `text0`, `text1`, ... @return the job's identifier.
  std::string Submit(std::size_t instance, std::size_t items, const std::string& key);
  static std::string Lines(std::size_t items);

  /// Reads the status of a job at an instance until the job has the given state. @return false if
  /// it does not reach the state.
  bool RunUntilState(const std::string& job, const std::string& state, std::size_t instance = 0);

  /// Custom identifiers of a job's result lines, sorted.
  std::vector<std::string> ResultIds(std::size_t instance, const std::string& job);

  /// Number of job row writes that the batch processes have started.
  std::uint64_t JobWrites();

  /// Stops the batch process of an instance without handing its jobs over.
  void Kill(std::size_t instance);

  [[nodiscard]] BatchModule& Module(std::size_t instance);

  standin::PlatformFixture platform;
  std::vector<std::unique_ptr<StubEngine>> engines;

 private:
  struct Instance;

  void UpdateViews();

  BatchSettings settings;
  endpoint::EndpointSettings services;
  std::vector<std::unique_ptr<Instance>> instances;
  framework::TimerSubscription view_tick;
};

}  // namespace lentilhead::batch
