#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "framework/http_call.h"
#include "framework/timer_subscription.h"
#include "online/internal/attempt_machine.h"
#include "online/internal/outbound_request.h"
#include "online/internal/worker_resources.h"

namespace lentilhead::online::internal {

/// Executes the attempts of one admitted request.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  /// Receives every effect. Only StartStream, ForwardEvents, FinishStream, FailStream, WholeAnswer
  /// and Refuse concern the answer to the caller.
  using AnswerHandler = std::function<void(AttemptEffect&)>;

  /// @param on_answer called with each effect after it has been applied.
  /// @param on_ended called once after the last attempt has ended.
  RequestRun(WorkerResources& resources, OutboundRequest request, const AttemptPolicy& policy,
             AnswerHandler on_answer, std::function<void()> on_ended);
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;
  ~RequestRun();

  void Start();

  /// Delivers CallerDisconnected or DrainLimitReached.
  void Interrupt(const AttemptEvent& event);

  [[nodiscard]] const std::string& Endpoint() const { return this->endpoint; }

 private:
  struct Visitor;

  void Handle(const AttemptEvent& event);
  void Apply(AttemptEffects effects);
  void Send(const SendAttempt& send);
  void Report(const ReportAttempt& report);
  void Wait(const WaitBackoff& wait);
  void RecordFirstByte();
  bool ChooseEndpoint(std::string* address);
  [[nodiscard]] framework::HttpRequest Build(const std::string& address, const std::string& body);
  [[nodiscard]] framework::HttpStreamHandlers Handlers(int attempt);

  WorkerResources& resources;
  OutboundRequest request;
  framework::MonotonicTime deadline;
  framework::MonotonicTime started_at;
  AttemptMachine machine;
  AnswerHandler on_answer;
  std::function<void()> on_ended;
  framework::HttpCall call;
  framework::TimerSubscription backoff_timer;
  framework::TimerSubscription deadline_timer;
  std::string endpoint;
  framework::MonotonicTime sent_at;
  bool in_flight = false;
};

}  // namespace lentilhead::online::internal
