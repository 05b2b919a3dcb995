#pragma once

#include <vector>

#include "config_check/types/config_document.h"
#include "config_check/types/finding.h"

namespace lentilhead::config_check::internal {

/// Finds customers and API keys that nodes pass over, and bursts without a rate.
class CustomerChecker {
 public:
  explicit CustomerChecker(const ConfigDocument& document) : document(document) {}

  /// Adds the findings on all customers.
  void AddTo(std::vector<Finding>& findings) const;

 private:
  const ConfigDocument& document;
};

}  // namespace lentilhead::config_check::internal
