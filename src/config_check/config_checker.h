#pragma once

#include <vector>

#include "config_check/types/config_document.h"
#include "config_check/types/finding.h"

namespace lentilhead::config_check {

/// Finds the entries of a configuration that cannot work as they are written.
class ConfigChecker {
 public:
  /// Checks a configuration by itself. @return findings in the order of its entries.
  [[nodiscard]] static std::vector<Finding> Check(const ConfigDocument& document);
};

}  // namespace lentilhead::config_check
