#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "framework/http_server.h"
#include "framework/timer_service.h"

namespace lentilhead::batch {

/// Endpoint on the calling task that answers chat completions immediately or after a fixed time.
class StubEngine {
 public:
  /// @param slots reported as the slots of the endpoint.
  StubEngine(framework::TimerService& timers, int slots, std::chrono::milliseconds answer_time);

  [[nodiscard]] const std::string& Address() const { return this->address; }

  /// Number of requests received, by the text of their last message.
  std::map<std::string, int> request_counts;

  /// Maximum number of requests that ran concurrently.
  int max_running = 0;

  /// Requests with this text are answered with status 500.
  std::string failing_text;

  /// The first answer to this text is broken off, but framed as complete, as a proxy may do.
  std::string cut_text;

  /// Connections of requests with this text are closed without an answer.
  std::string aborted_text;

 private:
  using Exchange = std::shared_ptr<framework::HttpExchange>;

  void OnChat(const Exchange& exchange);
  void Answer(const Exchange& exchange, bool streamed, const std::string& text);

  framework::TimerService& timers;
  int slots;
  std::chrono::milliseconds answer_time;
  int running = 0;
  framework::Metrics metrics;
  framework::HttpRouter router;
  framework::HttpServer server;
  std::string address;
  std::uint64_t next_id = 0;
  std::map<std::uint64_t, framework::TimerSubscription> pending;
};

}  // namespace lentilhead::batch
