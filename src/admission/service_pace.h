#pragma once

#include <chrono>

namespace lentilhead::admission {

/// Learns how long the requests of a service take: to the first event or answer, and to the end.
class ServicePace {
 public:
  /// Records the time from the start of a request to its first event or its answer.
  void RecordFirstEvent(std::chrono::nanoseconds span);

  /// Records how long a request held its slot.
  void RecordHold(std::chrono::nanoseconds span);

  /// Time to the first event that few requests exceed.
  /// @param objective bounds the result, so that a slow spell does not make every request late
  ///   before it is tried.
  [[nodiscard]] std::chrono::milliseconds FirstEventTime(std::chrono::milliseconds objective) const;

  /// Mean time for which a request holds its slot; a usual value before any is known.
  [[nodiscard]] std::chrono::milliseconds HoldTime() const;

  /// Whether enough requests have ended for the times to be relied on.
  [[nodiscard]] bool IsLearned() const;

 private:
  using Span = std::chrono::duration<double, std::milli>;

  Span first_event{0};
  Span deviation{0};
  Span hold{0};
  int first_events = 0;
  int holds = 0;
};

}  // namespace lentilhead::admission
