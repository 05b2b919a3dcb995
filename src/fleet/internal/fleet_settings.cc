#include "fleet/fleet_settings.h"

namespace lentilhead::fleet {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortest{10};
constexpr milliseconds kLongest{600'000};
constexpr int kMaxPeers = 64;

}  // namespace

FleetSettings FleetSettings::Read(framework::SettingsReader& reader) {
  const auto duration = [&reader](const char* key, milliseconds fallback) {
    return reader.Milliseconds(key, fallback, kShortest, kLongest);
  };
  const auto count = [&reader](const char* key, int fallback, int lowest) {
    return static_cast<int>(reader.Integer(key, fallback, lowest, kMaxPeers));
  };
  FleetSettings settings;
  settings.name = reader.RequiredString("instance.name");
  settings.zone = reader.RequiredString("instance.zone");
  settings.region = reader.String("instance.region", "");
  settings.peer_address = reader.RequiredString("instance.peer_address");
  settings.batch_address = reader.RequiredString("instance.batch_address");
  settings.operator_address = reader.RequiredString("instance.operator_address");
  settings.secret = reader.String("fleet.secret", "");
  settings.heartbeat_period = duration("fleet.heartbeat_period_ms", settings.heartbeat_period);
  settings.heartbeat_timeout = duration("fleet.heartbeat_timeout_ms", settings.heartbeat_timeout);
  settings.suspicion_time = duration("fleet.suspicion_time_ms", settings.suspicion_time);
  settings.list_period = duration("fleet.list_period_ms", settings.list_period);
  settings.sheet_poll_period = duration("fleet.sheet_poll_period_ms", settings.sheet_poll_period);
  settings.sheet_pollers = count("fleet.sheet_pollers", settings.sheet_pollers, 1);
  settings.readiness_bound = duration("fleet.readiness_bound_ms", settings.readiness_bound);
  settings.follow_period = duration("fleet.follow_period_ms", settings.follow_period);
  settings.indirect_probes = count("fleet.indirect_probes", settings.indirect_probes, 0);
  settings.eager_peers = count("fleet.eager_peers", settings.eager_peers, 1);
  settings.updates_per_message =
      count("fleet.updates_per_message", settings.updates_per_message, 1);
  return settings;
}

}  // namespace lentilhead::fleet
