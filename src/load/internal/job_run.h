#pragma once

#include <functional>
#include <string>
#include <vector>

#include "framework/http_client.h"
#include "framework/timer_service.h"
#include "load/job_checker.h"
#include "load/types/job_result.h"

namespace lentilhead::load::internal {

/// Runs one batch job: submits it until it is accepted or refused, polls its status until it
/// ends, then reads and checks the results. Every request goes to the next entry instance.
class JobRun {
 public:
  JobRun(const JobPlan& plan, const std::string& run, std::uint64_t seed,
         std::vector<std::string> urls, std::string key, framework::HttpClient& http,
         framework::TimerService& timers);
  JobRun(const JobRun&) = delete;
  JobRun& operator=(const JobRun&) = delete;

  void Start();

  [[nodiscard]] bool HasEnded() const { return this->ended; }
  [[nodiscard]] const JobResult& Result() const { return this->result; }

 private:
  void Submit();
  void Poll();
  void FetchResults();
  void RetryLater(void (JobRun::*request)());
  void HandleSubmitted(const framework::HttpResponse& response);
  void HandleStatus(const framework::HttpResponse& response);
  [[nodiscard]] framework::HttpRequest RequestTo(const std::string& method,
                                                 const std::string& path);

  JobPlan plan;
  JobChecker checker;
  std::vector<std::string> urls;
  std::string key;
  std::string idempotency_key;
  framework::HttpClient& http;
  framework::TimerService& timers;
  framework::HttpCall call;
  framework::TimerSubscription retry_timer;
  framework::MonotonicTime started;
  JobResult result;
  std::size_t next_url = 0;
  bool ended = false;
};

}  // namespace lentilhead::load::internal
