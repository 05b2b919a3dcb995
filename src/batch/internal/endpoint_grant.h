#pragma once

#include <chrono>
#include <optional>

#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Right of this process to send batch items to one endpoint.
///
/// The owner by the fleet's view may send while its view is confirmed and until one lifetime after
/// the last confirmation at the latest. A new owner waits one lifetime plus the margin, within
/// which an owner before it has stopped, whatever its view was.
class EndpointGrant {
 public:
  explicit EndpointGrant(std::chrono::milliseconds lifetime);

  /// Takes a view. @param confirmed time at which the view was true.
  void OnView(framework::MonotonicTime confirmed, bool is_owner, framework::MonotonicTime now);

  /// True while new items may be sent.
  [[nodiscard]] bool MaySend(framework::MonotonicTime now) const;

  /// True while items sent earlier may still run; they are cancelled when this ends.
  [[nodiscard]] bool MayRun(framework::MonotonicTime now) const;

  [[nodiscard]] bool IsOwner() const { return this->owner; }

 private:
  std::chrono::milliseconds lifetime;
  bool owner = false;
  framework::MonotonicTime confirmed_until;
  framework::MonotonicTime may_send_from;
};

}  // namespace lentilhead::batch::internal
