#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "framework/event_stream_reader.h"
#include "framework/http_client.h"
#include "framework/timer_service.h"
#include "load/types/call_plan.h"
#include "load/types/call_result.h"

namespace lentilhead::load::internal {

/// Sends one online call, measures the times of its tokens and checks the complete answer.
class OnlineCall {
 public:
  using EndHandler = std::function<void(const CallResult&)>;

  OnlineCall(CallPlan plan, framework::HttpClient& http, framework::TimerService& timers);
  OnlineCall(const OnlineCall&) = delete;
  OnlineCall& operator=(const OnlineCall&) = delete;

  /// Sends the call. @param on_end called once, when the call has ended.
  void Start(EndHandler on_end);

 private:
  void HandleData(std::string_view data);
  void HandleEvent(std::string_view data);
  void HandleEnd(const std::optional<framework::HttpFailure>& failure);
  void RecordToken();
  void CheckStream();
  void CheckBody();
  void ReadErrorCode(std::string_view body);

  CallPlan plan;
  framework::HttpClient& http;
  framework::TimerService& timers;
  EndHandler on_end;
  framework::HttpCall call;
  framework::MonotonicTime started;
  framework::MonotonicTime last_token;
  framework::EventStreamReader events;
  CallResult result;
  std::string text;
  std::string body;
  bool received_done = false;
  bool error_event = false;
};

}  // namespace lentilhead::load::internal
