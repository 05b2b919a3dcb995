#pragma once

#include <chrono>
#include <optional>

#include "fleet/types/fleet_instance.h"

namespace lentilhead::fleet {

/// Status of one instance as it reported it, for operators.
struct InstanceStatus {
  FleetInstance instance;
  bool answered = false;  ///< False if the instance has not answered; only `instance` is set then.
  bool ready = false;
  std::uint64_t drain_revision = 0;
  /// Time since the store or a peer confirmed the instance's sheet revision; no value if neither
  /// did.
  std::optional<std::chrono::milliseconds> confirmation_age;
};

}  // namespace lentilhead::fleet
