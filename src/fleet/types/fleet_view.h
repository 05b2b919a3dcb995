#pragma once

#include <string>
#include <vector>

#include "fleet/types/fleet_instance.h"

namespace lentilhead::fleet {

/// The fleet as one instance sees it. The views of instances may differ, so safety never depends on
/// them: it rests on conditional writes or on the lifetimes of grants.
struct FleetView {
  std::string self;
  std::vector<FleetInstance> instances;  ///< Sorted by name; includes self.

  /// Names of the instances that may own work: alive or suspect.
  [[nodiscard]] std::vector<std::string> OwnerNames() const;

  /// Returns the instance of a name, or null.
  [[nodiscard]] const FleetInstance* Find(const std::string& name) const;

  /// Names of the instances that may own work and whose batch process is running.
  [[nodiscard]] std::vector<std::string> BatchOwnerNames() const;

  /// Name of the instance that owns a key of batch work by rendezvous hashing; empty if there is
  /// none.
  [[nodiscard]] std::string BatchOwnerOf(const std::string& key) const;
};

}  // namespace lentilhead::fleet
