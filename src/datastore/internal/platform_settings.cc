#include "datastore/platform_settings.h"

namespace lentilhead::datastore {

namespace {

constexpr std::chrono::milliseconds kShortestTimeout{10};
constexpr std::chrono::milliseconds kLongestTimeout{60'000};
constexpr double kLowestWriteRate = 0.1;
constexpr double kHighestWriteRate = 100'000;

/// Reads a base URL and drops a slash at its end.
std::string ReadUrl(framework::SettingsReader& reader, const std::string& key) {
  std::string url = reader.RequiredString(key);
  const bool is_http = url.starts_with("http://") || url.starts_with("https://");
  if (!url.empty() && !is_http) {
    reader.Report(framework::SettingsProblemKind::kInvalidValue, key,
                  "must be a URL that starts with http:// or https://");
  }
  while (url.ends_with('/')) {
    url.pop_back();
  }
  return url;
}

}  // namespace

PlatformSettings PlatformSettings::Read(framework::SettingsReader& reader) {
  PlatformSettings settings;
  settings.table_url = ReadUrl(reader, "platform.table_url");
  settings.object_url = ReadUrl(reader, "platform.object_url");
  settings.list_url = ReadUrl(reader, "platform.list_url");
  settings.access_key = reader.String("platform.access_key", "");
  settings.request_timeout = reader.Milliseconds(
      "platform.request_timeout_ms", settings.request_timeout, kShortestTimeout, kLongestTimeout);
  settings.writes_per_second =
      reader.Number("platform.writes_per_second", settings.writes_per_second, kLowestWriteRate,
                    kHighestWriteRate);
  return settings;
}

}  // namespace lentilhead::datastore
