#pragma once

#include <string>

namespace lentilhead::config_check {

/// One difference between two versions of a configuration.
struct ConfigChange {
  std::string place;   ///< the entry and, if both versions have it, the value that differs
  std::string before;  ///< empty if the entry is new
  std::string after;   ///< empty if the entry was removed

  bool operator==(const ConfigChange&) const = default;
};

}  // namespace lentilhead::config_check
