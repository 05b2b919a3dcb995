#pragma once

#include <string>

#include "batch/batch_settings.h"
#include "control/control_settings.h"
#include "datastore/platform_settings.h"
#include "endpoint/endpoint_settings.h"
#include "fleet/fleet_settings.h"
#include "framework/result.h"
#include "framework/settings_reader.h"
#include "online/online_settings.h"

namespace lentilhead::apps {

/// Settings of one instance, from the file that its three programs share.
struct InstanceSettings {
  /// Reads and checks all sections, so that each program reports the errors of the whole file.
  /// @return the settings, or framework::SettingsProblems with all errors.
  static framework::Result<InstanceSettings> Read(const std::string& file);

  std::string file;  ///< The file that was read.

  datastore::PlatformSettings platform;
  fleet::FleetSettings fleet;
  endpoint::EndpointSettings endpoint;
  online::OnlineSettings online;
  batch::BatchSettings batch;
  control::ControlSettings control;
};

}  // namespace lentilhead::apps
