#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "batch/internal/exchange_messages.h"
#include "batch/internal/job_line.h"
#include "batch/internal/stream_answer.h"
#include "endpoint/types/attempt_end.h"
#include "endpoint/types/endpoint_info.h"
#include "endpoint/types/service_settings.h"
#include "framework/http_client.h"
#include "framework/timer_service.h"

namespace lentilhead::batch::internal {

/// One attempt at an item at one endpoint.
///
/// Chat completions of resumable services are streamed, so that a later attempt can continue the
/// text of a preempted one.
class ItemRun {
 public:
  /// Called once when the attempt ends, but not after Preempt(). The handler may destroy the run.
  using EndHandler = std::function<void(ItemResult result, endpoint::AttemptEnd end)>;

  ItemRun(GrantedItem item, JobLine line, const endpoint::EndpointInfo& target,
          const endpoint::ServiceSettings& service);

  void Start(framework::HttpClient& http, framework::TimerService& timers,
             std::chrono::milliseconds timeout, EndHandler handler);

  /// Cancels the attempt. @return its result, with the text generated so far if it can be
  /// continued.
  ItemResult Preempt();

  /// Returns true if the attempt can be cancelled without losing the text generated so far.
  [[nodiscard]] bool IsResumable() const { return this->streamed; }

  [[nodiscard]] const GrantedItem& Item() const { return this->item; }

 private:
  [[nodiscard]] framework::HttpRequest BuildRequest(std::chrono::milliseconds timeout) const;
  [[nodiscard]] ItemResult ResultOf(AttemptOutcome outcome, std::string rendered) const;
  void OnEnd(const std::optional<framework::HttpFailure>& failure);
  void OnAnswer();
  void End(ItemResult result, endpoint::AttemptEnd end);

  GrantedItem item;
  JobLine line;
  std::string address;
  bool streamed;
  PartialAnswer continued;
  StreamAnswer stream;
  int status = 0;
  std::string content_type;
  std::string body;
  EndHandler on_end;
  framework::TimerSubscription timer;
  framework::HttpCall call;
};

}  // namespace lentilhead::batch::internal
