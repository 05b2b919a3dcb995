#pragma once

#include "datastore/table_client.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::online::internal {

/// Deletes the expired records of at-most-once calls, one partition at a time.
///
/// Every worker of every instance has a sweeper, which starts at a random partition. A delete
/// carries the etag that was read, so it fails if the record has been claimed again.
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
