#include "endpoint/endpoint_settings.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace lentilhead::endpoint {

using framework::SettingsProblemKind;
using framework::SettingsReader;
using std::chrono::milliseconds;

namespace {

constexpr int kMaxSubsetSize = 1'000;
constexpr int kMaxSlots = 10'000;
constexpr double kMaxReportsPerSecond = 10'000;
constexpr std::array<std::string_view, 6> kMethods = {"GET",   "POST", "PUT",
                                                      "PATCH", "HEAD", "DELETE"};

bool IsCall(const std::string& text, std::size_t space) {
  if (space == std::string::npos) {
    return false;
  }
  const std::string method = text.substr(0, space);
  const bool is_known_method =
      std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
  return is_known_method && text.substr(space + 1).starts_with('/') &&
         text.find(' ', space + 1) == std::string::npos;
}

std::vector<NonRepeatableCall> ReadNonRepeatable(SettingsReader& reader, const std::string& key) {
  std::vector<NonRepeatableCall> calls;
  for (const std::string& text : reader.Strings(key)) {
    const std::size_t space = text.find(' ');
    if (!IsCall(text, space)) {
      reader.Report(SettingsProblemKind::kInvalidValue, key,
                    "must be a method and a path, such as `POST /promise`: `" + text + "`");
      continue;
    }
    calls.push_back({text.substr(0, space), text.substr(space + 1)});
  }
  return calls;
}

bool IsName(const std::string& name) {
  return std::all_of(name.begin(), name.end(), [](unsigned char letter) {
    return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
  });
}

ServiceSettings ReadService(SettingsReader& reader, const std::string& table) {
  ServiceSettings service;
  service.name = reader.RequiredString(table + ".name");
  if (!IsName(service.name)) {
    reader.Report(SettingsProblemKind::kInvalidValue, table + ".name",
                  "may contain only letters, digits, `-`, `_` and `.`");
  }
  const bool plain = reader.Choice(table + ".kind", "model", {"model", "plain"}) == "plain";
  service.kind = plain ? ServiceKind::kPlain : ServiceKind::kModel;
  service.fencing_checked = reader.Boolean(table + ".fencing_checked", service.fencing_checked);
  service.resumable = reader.Boolean(table + ".resumable", !plain);
  service.slots = static_cast<int>(reader.Integer(table + ".slots", service.slots, 1, kMaxSlots));
  service.non_repeatable = ReadNonRepeatable(reader, table + ".non_repeatable");
  if (plain && service.resumable) {
    reader.Report(SettingsProblemKind::kInvalidValue, table + ".resumable",
                  "a plain service cannot be resumable");
  }
  if (!plain && !service.non_repeatable.empty()) {
    reader.Report(SettingsProblemKind::kInvalidValue, table + ".non_repeatable",
                  "only a plain service may list non-repeatable calls");
  }
  return service;
}

std::vector<ServiceSettings> ReadServices(SettingsReader& reader) {
  std::vector<ServiceSettings> services;
  std::set<std::string> names;
  const std::size_t count = reader.TableCount("service");
  for (std::size_t index = 0; index < count; ++index) {
    const std::string table = "service[" + std::to_string(index) + "]";
    services.push_back(ReadService(reader, table));
    const std::string& name = services.back().name;
    if (!name.empty() && !names.insert(name).second) {
      reader.Report(SettingsProblemKind::kInvalidValue, table + ".name",
                    "another service already has this name");
    }
  }
  if (count == 0) {
    reader.Report(SettingsProblemKind::kMissingKey, "service", "at least one service is required");
  }
  return services;
}

}  // namespace

EndpointSettings EndpointSettings::Read(SettingsReader& reader) {
  EndpointSettings settings;
  settings.services = ReadServices(reader);
  settings.policy =
      reader.Choice("routing.policy", settings.policy,
                    {"bounded_turns", "two_choices", "round_robin", "least_reported_load"});
  settings.subset_size = static_cast<int>(
      reader.Integer("routing.subset_size", settings.subset_size, 2, kMaxSubsetSize));
  settings.report_period = reader.Milliseconds("routing.report_period_ms", settings.report_period,
                                               milliseconds(10), milliseconds(60'000));
  settings.report_timeout = reader.Milliseconds(
      "routing.report_timeout_ms", settings.report_timeout, milliseconds(10), milliseconds(60'000));
  settings.list_period = reader.Milliseconds("routing.list_period_ms", settings.list_period,
                                             milliseconds(50), milliseconds(600'000));
  settings.ejection_time = reader.Milliseconds("routing.ejection_time_ms", settings.ejection_time,
                                               milliseconds(10), milliseconds(3'600'000));
  settings.max_ejected_share =
      reader.Number("routing.max_ejected_share", settings.max_ejected_share, 0.0, 1.0);
  settings.reports_per_second = reader.Number("routing.reports_per_second",
                                              settings.reports_per_second, 1, kMaxReportsPerSecond);
  settings.report_lag = reader.Milliseconds("routing.report_lag_ms", settings.report_lag,
                                            milliseconds(0), milliseconds(60'000));
  return settings;
}

const ServiceSettings* EndpointSettings::FindService(const std::string& name) const {
  const auto found =
      std::find_if(this->services.begin(), this->services.end(),
                   [&](const ServiceSettings& service) { return service.name == name; });
  return found == this->services.end() ? nullptr : &*found;
}

}  // namespace lentilhead::endpoint
