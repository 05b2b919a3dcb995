#pragma once

#include <map>
#include <string>
#include <vector>

#include "framework/result.h"

namespace lentilhead::load {

enum class FleetFileErrorKind { kUnreadable, kInvalidJson };

/// Reason why a fleet file cannot be used.
struct FleetFileError {
  FleetFileErrorKind kind;
  std::string detail;
};

/// Addresses, API keys and process ids of a running fleet, from a file of scripts/local-fleet.
struct FleetFile {
  /// Reads a file. @return the fleet, or a FleetFileError.
  static framework::Result<FleetFile> Read(const std::string& file);

  std::vector<std::string> entry_urls;
  std::vector<std::string> operator_urls;
  std::string platform_url;
  std::map<std::string, std::string> endpoint_urls;  ///< By endpoint name.
  std::map<std::string, std::string> keys;           ///< API keys by caller name.
  std::map<std::string, int> process_ids;            ///< By process name.
};

}  // namespace lentilhead::load
