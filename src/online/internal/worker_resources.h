#pragma once

#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_directory.h"
#include "framework/http_client.h"
#include "framework/timer_service.h"
#include "online/internal/online_metrics.h"
#include "online/internal/retry_budget.h"
#include "online/online_settings.h"

namespace lentilhead::online::internal {

/// Objects of one worker that its requests share.
struct WorkerResources {
  const OnlineSettings& settings;
  endpoint::EndpointDirectory& directory;
  framework::HttpClient& http;
  framework::TimerService& timers;
  datastore::TableClient& table;
  datastore::ResolvedWriter& writer;
  OnlineMetrics& metrics;
  RetryBudget& budget;
};

}  // namespace lentilhead::online::internal
