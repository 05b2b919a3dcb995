#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::relay {

/// Decides how long a probe's connection must stay open until it counts as one that reached its
/// endpoint.
///
/// A network or a process that accepts connections for an endpoint out of reach drops them within
/// a round trip, but later where it is busy. So the limit follows the drops that were seen.
///
/// Reads no clock and does no I/O; the calling code passes the time.
class DropLimit {
 public:
  /// Limit while no drops are seen. A drop takes a round trip, which a peer doubles.
  static constexpr std::chrono::milliseconds kMin{30};
  /// Limit once a drop was seen; some take far longer than the first one.
  static constexpr std::chrono::milliseconds kMinAfterDrop{100};
  /// Above it, the end of a cut would not be known within a second.
  static constexpr std::chrono::milliseconds kMax{200};

  /// Records that a connection was accepted and lost before any byte arrived on it.
  /// @param after time from its acceptance to its loss.
  void RecordDrop(std::chrono::milliseconds after, net::SteadyTime now);

  /// Time after which a connection that is still open was not dropped.
  [[nodiscard]] std::chrono::milliseconds Current(net::SteadyTime now) const;

 private:
  [[nodiscard]] bool IsForgotten(net::SteadyTime now) const;

  std::chrono::milliseconds longest{0};  ///< of the drops since they were last forgotten
  net::SteadyTime dropped_at;
};

}  // namespace lentilhead::relay
