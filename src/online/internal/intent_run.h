#pragma once

#include <functional>
#include <memory>
#include <string>

#include "framework/http_exchange.h"
#include "framework/timer_subscription.h"
#include "online/internal/intent_machine.h"
#include "online/internal/request_run.h"

namespace lentilhead::online::internal {

/// Executes one admitted call that must run at most once.
class IntentRun : public std::enable_shared_from_this<IntentRun> {
 public:
  /// The request, the policy of its attempts and the location of its record.
  struct Call {
    IntentRowKey row_key;
    std::string digest;
    OutboundRequest request;
    AttemptPolicy policy;
  };

  /// @param on_ended called once when the caller has its answer and the outcome is recorded.
  IntentRun(WorkerResources& resources, Call call,
            std::shared_ptr<framework::HttpExchange> exchange, std::function<void()> on_ended);
  IntentRun(const IntentRun&) = delete;
  IntentRun& operator=(const IntentRun&) = delete;

  void Start();

  /// Ends the call because the drain limit of the instance has passed.
  void Abort();

 private:
  struct Visitor;

  [[nodiscard]] IntentMachine::Times Now() const;
  void Handle(const IntentEvent& event);
  void Apply(const IntentEffects& effects);
  void Write(const WriteRow& write);
  void Read(const ReadRow& read);
  void Send();
  void Respond(const RespondAnswer& respond);
  void OnAttemptEffect(AttemptEffect& effect);

  WorkerResources& resources;
  Call call;
  std::shared_ptr<framework::HttpExchange> exchange;
  std::function<void()> on_ended;
  IntentMachine machine;
  std::shared_ptr<RequestRun> run;
  framework::TimerSubscription record_wait;
  bool aborted = false;
};

}  // namespace lentilhead::online::internal
