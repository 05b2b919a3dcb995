#pragma once

#include <chrono>
#include <optional>

#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Permission of this process to send batch items to one endpoint.
///
/// The owner according to the fleet view may send until one lifetime after its view was last
/// confirmed. A new owner waits one and a half lifetimes, within which the previous owner has
/// stopped, even if its view was stale.
class EndpointGrant {
 public:
  explicit EndpointGrant(std::chrono::milliseconds lifetime);

  /// Updates the ownership from a view. @param confirmed time at which the view was known to be
  /// correct.
  void OnView(framework::MonotonicTime confirmed, bool is_owner, framework::MonotonicTime now);

  /// Returns true while new items may be sent.
  [[nodiscard]] bool MaySend(framework::MonotonicTime now) const;

  /// Returns true while items sent earlier may still run. They must be cancelled afterwards.
  [[nodiscard]] bool MayRun(framework::MonotonicTime now) const;

  [[nodiscard]] bool IsOwner() const { return this->owner; }

 private:
  std::chrono::milliseconds lifetime;
  bool owner = false;
  framework::MonotonicTime confirmed_until;
  framework::MonotonicTime may_send_from;
};

}  // namespace lentilhead::batch::internal
