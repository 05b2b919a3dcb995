#include "control/control_settings.h"

namespace lentilhead::control {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinDuration{10};
constexpr milliseconds kMaxDuration{24 * 3'600'000};
constexpr int kMaxCandidates = 16;
constexpr int kMaxLoadsAtOnce = 1'000;

}  // namespace

ControlSettings ControlSettings::Read(framework::SettingsReader& reader) {
  const auto duration = [&reader](const char* key, milliseconds fallback) {
    return reader.Milliseconds(key, fallback, kMinDuration, kMaxDuration);
  };
  ControlSettings settings;
  settings.address = reader.String("control.address", settings.address);
  settings.candidates = static_cast<int>(
      reader.Integer("control.candidates", settings.candidates, 1, kMaxCandidates));
  settings.lease_duration = duration("control.lease_ms", settings.lease_duration);
  settings.lease_renewal = duration("control.lease_renewal_ms", settings.lease_renewal);
  settings.lease_margin = duration("control.lease_margin_ms", settings.lease_margin);
  settings.order_timeout = duration("control.order_timeout_ms", settings.order_timeout);
  settings.reconcile_period = duration("control.reconcile_period_ms", settings.reconcile_period);
  settings.drain_timeout = duration("control.drain_timeout_ms", settings.drain_timeout);
  settings.load_time = duration("control.load_time_ms", settings.load_time);
  settings.loads_at_once = static_cast<int>(
      reader.Integer("control.loads_at_once", settings.loads_at_once, 1, kMaxLoadsAtOnce));
  if (settings.lease_renewal + settings.lease_margin >= settings.lease_duration) {
    reader.Report(framework::SettingsProblemKind::kInvalidValue, "control.lease_ms",
                  "must exceed control.lease_renewal_ms plus control.lease_margin_ms");
  }
  return settings;
}

}  // namespace lentilhead::control
