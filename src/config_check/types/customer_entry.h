#pragma once

#include <string>
#include <vector>

#include "customers/types/customer.h"

namespace lentilhead::config_check {

/// A customer as the configuration lists it, with all keys, also those that another one holds.
struct CustomerEntry {
  customers::Customer customer;
  std::vector<std::string> api_keys;
};

}  // namespace lentilhead::config_check
