#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "framework/settings_reader.h"

namespace lentilhead::fleet {

/// Settings `[instance]` and `[fleet]`: the identity of this instance and the membership protocol.
class FleetSettings {
 public:
  static FleetSettings Read(framework::SettingsReader& reader);

  std::string name;              ///< `instance.name`
  std::string zone;              ///< `instance.zone`
  std::string region;            ///< `instance.region`
  std::string peer_address;      ///< `instance.peer_address`, `ip:port`
  std::string batch_address;     ///< `instance.batch_address`
  std::string operator_address;  ///< `instance.operator_address`
  std::string secret;            ///< `fleet.secret`, shared by all instances; may be empty.
  std::chrono::milliseconds heartbeat_period{500};   ///< `fleet.heartbeat_period_ms`
  std::chrono::milliseconds heartbeat_timeout{300};  ///< `fleet.heartbeat_timeout_ms`
  std::chrono::milliseconds suspicion_time{3'000};   ///< `fleet.suspicion_time_ms`
  std::chrono::milliseconds list_period{5'000};      ///< `fleet.list_period_ms`
  std::chrono::milliseconds sheet_poll_period{500};  ///< `fleet.sheet_poll_period_ms`
  int sheet_pollers = 3;  ///< `fleet.sheet_pollers`, which poll the store for sheet and drains
  /// `fleet.readiness_bound_ms`; largest age of the confirmed sheet at which the instance is ready.
  std::chrono::milliseconds readiness_bound{60'000};
  std::chrono::milliseconds follow_period{250};  ///< `fleet.follow_period_ms`
  int indirect_probes = 2;                       ///< `fleet.indirect_probes`
  int eager_peers = 4;  ///< `fleet.eager_peers`, which get a heartbeat at once after a change
  int updates_per_message = 4;  ///< `fleet.updates_per_message`
};

}  // namespace lentilhead::fleet
