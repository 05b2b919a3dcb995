#pragma once

#include <chrono>

namespace lentilhead::placement {

/// What is known of the pace of a service's endpoints in general. Serves where nothing is known of
/// one endpoint yet. Reads no clock.
class ServicePace {
 public:
  /// Usual time of a unit of work at an endpoint of usual speed.
  [[nodiscard]] double UnitMs() const { return this->unit_ms; }

  /// Usual time in which a token of a prompt is read.
  [[nodiscard]] double ReadMsPerToken() const { return this->read_ms_per_token; }

  /// Mean length of the requests that ended, in units.
  [[nodiscard]] double MeanUnits() const { return this->mean_units; }

  /// Records the time of a unit at one endpoint, as if it worked as usual.
  void RecordUnit(std::chrono::duration<double, std::milli> span);

  /// Records the time until the first event of a request that found a free slot.
  /// @param tokens tokens read. @param others time that was spent otherwise, such as on the event.
  void RecordRead(double tokens, std::chrono::duration<double, std::milli> span,
                  std::chrono::duration<double, std::milli> others);

  /// Records the length of a request that ended.
  void RecordLength(double units);

 private:
  // Model engines take about 3 ms for each of the 12 tokens of an event, and read about 80 tokens
  // of a prompt per millisecond.
  double unit_ms = 36;
  double read_ms_per_token = 1.0 / 80;
  double mean_units = 16;
  bool has_unit = false;
};

}  // namespace lentilhead::placement
