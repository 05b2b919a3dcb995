#include "apps/common/instance_settings.h"

namespace lentilhead::apps {

framework::Result<InstanceSettings> InstanceSettings::Read(const std::string& file) {
  framework::SettingsReader reader(file);
  InstanceSettings settings;
  settings.file = file;
  settings.platform = datastore::PlatformSettings::Read(reader);
  settings.fleet = fleet::FleetSettings::Read(reader);
  settings.endpoint = endpoint::EndpointSettings::Read(reader);
  settings.online = online::OnlineSettings::Read(reader);
  settings.batch = batch::BatchSettings::Read(reader);
  settings.control = control::ControlSettings::Read(reader);
  BOOST_LEAF_CHECK(reader.Finish());
  return settings;
}

}  // namespace lentilhead::apps
