#pragma once

#include <vector>

#include "config_check/types/config_change.h"
#include "config_check/types/config_document.h"
#include "config_check/types/finding.h"

namespace lentilhead::config_check {

/// Compares a configuration with the version in force.
class ConfigComparison {
 public:
  /// Lists what differs. API keys are counted, not shown.
  [[nodiscard]] static std::vector<ConfigChange> Changes(const ConfigDocument& in_force,
                                                         const ConfigDocument& next);

  /// Finds why nodes would not take the configuration after the one in force.
  [[nodiscard]] static std::vector<Finding> Check(const ConfigDocument& in_force,
                                                  const ConfigDocument& next);
};

}  // namespace lentilhead::config_check
