#pragma once

#include <chrono>
#include <string>

#include "framework/settings_reader.h"

namespace lentilhead::datastore {

/// Settings `[platform]`: where the platform's services are and how much of them to use.
class PlatformSettings {
 public:
  static PlatformSettings Read(framework::SettingsReader& reader);

  std::string table_url;   ///< `platform.table_url`, base URL with the table's name.
  std::string object_url;  ///< `platform.object_url`, base URL with the bucket's name.
  std::string list_url;    ///< `platform.list_url`, base URL of the EndpointSlice API.
  std::string access_key;  ///< `platform.access_key`, sent as a bearer token; may be empty.
  std::chrono::milliseconds request_timeout{2'000};  ///< `platform.request_timeout_ms`.
  double writes_per_second = 40;  ///< `platform.writes_per_second`, budget of this process.
};

}  // namespace lentilhead::datastore
