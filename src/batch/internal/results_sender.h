#pragma once

#include <deque>
#include <memory>
#include <string>

#include "batch/internal/api_parts.h"
#include "framework/http_exchange.h"
#include "framework/timer_subscription.h"

namespace lentilhead::batch::internal {

/// Sends the committed results of one job, one object after another.
class ResultsSender : public std::enable_shared_from_this<ResultsSender> {
 public:
  ResultsSender(ApiParts& parts, std::shared_ptr<framework::HttpExchange> exchange,
                const JobRecord& record);

  void Start();

 private:
  void SendNext();
  void OnObject(bool read, const std::string& body);

  ApiParts& parts;
  std::shared_ptr<framework::HttpExchange> exchange;
  std::string state;
  std::deque<std::string> keys;
  int failures = 0;
  framework::TimerSubscription retry;
};

}  // namespace lentilhead::batch::internal
