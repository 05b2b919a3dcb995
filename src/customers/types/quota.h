#pragma once

#include "customers/types/customer.h"

namespace lentilhead::customers {

/// Limit on the requests of a customer at all nodes together.
struct Quota {
  double rate = 0;  ///< requests per second
  double burst = 0;

  /// Returns the quota of a customer.
  [[nodiscard]] static Quota Of(const Customer& customer) {
    return {customer.requests_per_second, customer.burst};
  }

  /// Requests that may be admitted in 5 s. The bound on them allows a tenth more than the quota and
  /// 20 requests. Half of these 20 and a fiftieth of the rate make up for the steps of the window;
  /// the rest covers late reports and failures.
  [[nodiscard]] double WindowLimit() const { return this->burst + 5.1 * this->rate + 10; }

  /// Requests per second that a counting node admits while it does not know the last 5 s. More of
  /// it leaves less for bursts, less of it refuses more after all nodes were killed: see
  /// docs/design/quotas.md.
  [[nodiscard]] double YoungRate() const { return 0.7 * this->rate; }

  bool operator==(const Quota&) const = default;
};

}  // namespace lentilhead::customers
