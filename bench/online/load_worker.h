#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "bench/online/bench_options.h"
#include "bench/online/sample_set.h"
#include "framework/http_client.h"
#include "framework/task.h"

namespace lentilhead::bench {

/// Sends requests from one thread and measures the times of their answers.
class LoadWorker {
 public:
  LoadWorker(const BenchOptions& options, int number);
  LoadWorker(const LoadWorker&) = delete;
  LoadWorker& operator=(const LoadWorker&) = delete;

  void Start();
  void Stop() { this->task.Stop(); }

  SampleSet direct;
  SampleSet entry;

 private:
  struct Call;

  void OnTick();
  void OnOpenLoopTick(framework::MonotonicTime now);
  void OnClosedLoopTick();
  [[nodiscard]] bool IsEntryWindow(framework::MonotonicTime now) const;
  [[nodiscard]] framework::HttpRequest BuildRequest(bool through_entry) const;
  void StartCall(bool through_entry);
  void OnData(Call& call, std::string_view bytes);
  void OnEnd(std::uint64_t id, bool failed);

  const BenchOptions& options;
  framework::Task task;
  std::unique_ptr<framework::HttpClient> http;
  framework::TimerSubscription tick;
  std::map<std::uint64_t, std::shared_ptr<Call>> calls;
  framework::MonotonicTime started_at;
  std::uint64_t next_id = 1;
  std::int64_t started_calls = 0;
  std::string body;
};

}  // namespace lentilhead::bench
