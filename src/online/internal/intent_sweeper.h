#pragma once

#include "datastore/table_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::online::internal {

/// Deletes the records of calls whose retention is over, one partition at a time.
///
/// Every worker of every instance sweeps, each from a random partition on; a delete carries the
/// etag that was read, so a record that was claimed again stays.
class IntentSweeper {
 public:
  IntentSweeper(datastore::TableClient& table, framework::TimerService& timers,
                framework::Metrics& metrics);
  IntentSweeper(const IntentSweeper&) = delete;
  IntentSweeper& operator=(const IntentSweeper&) = delete;

 private:
  void SweepNext();
  void DeleteExpired(const std::vector<datastore::TableRow>& rows);

  datastore::TableClient& table;
  framework::TimerService& timers;
  framework::Counter& deleted;
  int partition;
  framework::TimerSubscription timer;
};

}  // namespace lentilhead::online::internal
