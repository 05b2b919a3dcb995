#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/types/outcome_change.h"

namespace lentilhead::gateway {

/// Counts the outcomes of online requests by period, and tells when most of them are no longer
/// served and when they are again. Reads no clock; the calling code ends the periods.
class OutcomeWatch {
 public:
  /// Periods with fewer requests change nothing.
  static constexpr int kMinRequests = 4;
  /// While most requests are not served, that is told again after this many periods.
  static constexpr int kRepeatPeriods = 5;

  /// Records a final outcome. @param reason why the request was not served.
  void Record(bool is_served, std::string_view reason);

  /// Ends a period. @return what is to be told, if anything.
  [[nodiscard]] std::optional<OutcomeChange> EndPeriod();

 private:
  int served = 0;
  int unserved = 0;
  std::map<std::string, int, std::less<>> reasons;  ///< of the requests that were not served
  bool is_serving = true;
  int periods_since_told = 0;
};

}  // namespace lentilhead::gateway
