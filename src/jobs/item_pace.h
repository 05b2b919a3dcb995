#pragma once

#include <chrono>
#include <cstdint>

namespace lentilhead::jobs {

/// Estimates how long items still run, from the pace of earlier ones. Reads no clock.
class ItemPace {
 public:
  /// Records an attempt. @param events events that it received. @param span time that it took.
  void RecordAttempt(std::int64_t events, std::chrono::nanoseconds span);

  /// Records a completed item. @param tokens tokens of the item. @param events all its events.
  void RecordCompleted(std::int64_t tokens, std::int64_t events);

  /// Returns the time that an item is expected to run until its end; zero before any record.
  /// @param tokens tokens of the item. @param events_received events that it has already.
  [[nodiscard]] std::chrono::milliseconds LeftToRun(std::int64_t tokens,
                                                    std::int64_t events_received) const;

 private:
  double ms_per_event = 0;      ///< moving average; 0 without a record
  double events_per_token = 0;  ///< moving average; 0 without a record
};

}  // namespace lentilhead::jobs
