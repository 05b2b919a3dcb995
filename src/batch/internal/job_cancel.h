#pragma once

#include <memory>
#include <string>

#include "batch/internal/api_parts.h"
#include "framework/http_exchange.h"
#include "framework/timer_subscription.h"

namespace lentilhead::batch::internal {

/// Handles one request to cancel a job. It responds with success only after the cancel is stored in
/// the job's row.
class JobCancel : public std::enable_shared_from_this<JobCancel> {
 public:
  JobCancel(ApiParts& parts, std::shared_ptr<framework::HttpExchange> exchange, std::string caller,
            std::string job);

  void Start();

 private:
  void OnRow(const datastore::TableRow& row);
  void OnWritten(const JobRecord& record);
  void Retry(datastore::TableErrorKind error);

  ApiParts& parts;
  std::shared_ptr<framework::HttpExchange> exchange;
  std::string caller;
  std::string job;
  int attempts = 0;
  bool outcome_unknown = false;  ///< A write of an earlier attempt may have been applied.
  framework::TimerSubscription retry;
};

}  // namespace lentilhead::batch::internal
