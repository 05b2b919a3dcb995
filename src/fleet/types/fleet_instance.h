#pragma once

#include <cstdint>
#include <string>

namespace lentilhead::fleet {

enum class InstanceState { kAlive, kSuspect, kLeaving, kDead };

/// State of an instance of lentilhead in another instance's view.
struct FleetInstance {
  std::string name;
  std::string zone;
  std::string peer_address;      ///< `ip:port` of the entry process's listener for peers.
  std::string batch_address;     ///< `ip:port` of the batch process; empty while it is down.
  std::string operator_address;  ///< `ip:port` of the operators' listener.
  std::string version;
  std::uint64_t incarnation = 0;  ///< Increases with each restart, refutation and own change.
  InstanceState state = InstanceState::kAlive;
  std::uint64_t sheet_revision = 0;

  bool operator==(const FleetInstance&) const = default;
};

}  // namespace lentilhead::fleet
