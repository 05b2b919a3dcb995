#include <fstream>
#include <nlohmann/json.hpp>

#include "load/types/fleet_file.h"

namespace lentilhead::load {

framework::Result<FleetFile> FleetFile::Read(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return boost::leaf::new_error(FleetFileError{FleetFileErrorKind::kUnreadable, file});
  }
  try {
    const nlohmann::json document = nlohmann::json::parse(stream);
    FleetFile fleet;
    fleet.platform_url = document.at("platform").at("url").get<std::string>();
    for (const nlohmann::json& instance : document.at("instances")) {
      fleet.entry_urls.push_back("http://" + instance.at("caller_address").get<std::string>());
      fleet.operator_urls.push_back("http://" + instance.at("operator_address").get<std::string>());
    }
    for (const nlohmann::json& endpoint : document.at("endpoints")) {
      fleet.endpoint_urls[endpoint.at("name")] =
          "http://" + endpoint.at("address").get<std::string>();
    }
    for (const nlohmann::json& caller : document.at("callers")) {
      fleet.keys[caller.at("name")] = caller.at("key").get<std::string>();
    }
    for (const auto& [name, process] : document.at("processes").items()) {
      fleet.process_ids[name] = process.at("pid").get<int>();
    }
    return fleet;
  } catch (const nlohmann::json::exception& error) {
    return boost::leaf::new_error(FleetFileError{FleetFileErrorKind::kInvalidJson, error.what()});
  }
}

}  // namespace lentilhead::load
