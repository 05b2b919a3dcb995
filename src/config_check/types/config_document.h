#pragma once

#include <string>
#include <vector>

#include "config_check/types/customer_entry.h"
#include "gateway/types/serving_config.h"

namespace lentilhead::config_check {

/// A configuration as it is written, with the entries that a node passes over.
struct ConfigDocument {
  gateway::ServingConfig config;
  std::vector<std::string> services;  ///< names in the order of the list; empty if missing
  std::vector<CustomerEntry> customers;
};

}  // namespace lentilhead::config_check
