#pragma once

#include <cstdint>

namespace lentilhead::admission {

/// Slots of a service that a node's requests for a customer use.
struct CustomerUse {
  std::uint32_t service = 0;   ///< key of the service
  std::uint32_t customer = 0;  ///< key of the customer
  int slots = 0;
};

}  // namespace lentilhead::admission
