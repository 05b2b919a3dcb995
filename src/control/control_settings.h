#pragma once

#include <chrono>
#include <string>

#include "framework/settings_reader.h"

namespace lentilhead::control {

/// Settings `[control]` of the leader lease and of the orders to endpoints.
class ControlSettings {
 public:
  static ControlSettings Read(framework::SettingsReader& reader);

  std::string address = "127.0.0.1:0";  ///< `control.address`, listening address of the controller.
  int candidates = 3;  ///< `control.candidates`, number of instances that may take the lease.
  std::chrono::milliseconds lease_duration{6'000};    ///< `control.lease_ms`
  std::chrono::milliseconds lease_renewal{1'500};     ///< `control.lease_renewal_ms`
  std::chrono::milliseconds lease_margin{1'000};      ///< `control.lease_margin_ms`
  std::chrono::milliseconds order_timeout{2'000};     ///< `control.order_timeout_ms`
  std::chrono::milliseconds reconcile_period{1'000};  ///< `control.reconcile_period_ms`
  std::chrono::milliseconds drain_timeout{300'000};   ///< `control.drain_timeout_ms`
  std::chrono::milliseconds load_time{60'000};  ///< `control.load_time_ms`, expected for one model.
  /// `control.loads_at_once`, maximum number of endpoints that change at a time; limited by the
  /// read rate of the weight store.
  int loads_at_once = 2;
};

}  // namespace lentilhead::control
