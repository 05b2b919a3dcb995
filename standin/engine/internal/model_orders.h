#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/result.h"

namespace lentilhead::standin {

/// Loaded model and adapters of the engine, and whether it is draining.
struct ModelState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
  bool draining = false;
  std::uint64_t fencing_token = 0;  ///< Highest token seen.
  int orders = 0;                   ///< Number of admitted orders.
};

/// Error for an order with a stale fencing token.
struct StaleFencingToken {
  std::uint64_t highest = 0;
};

/// Model state of the engine, and the check of the orders that change it: an order with a stale
/// fencing token is refused if fencing is enforced.
class ModelOrders {
 public:
  ModelOrders(ModelState initial, bool fencing_enforced)
      : state(std::move(initial)), fencing_enforced(fencing_enforced) {}

  /// Admits an order by its fencing token.
  /// @return Done, or StaleFencingToken if the token is below the highest one seen.
  framework::Reply<framework::Done, StaleFencingToken> Admit(std::uint64_t fencing_token);

  [[nodiscard]] ModelState& State() { return this->state; }
  [[nodiscard]] const ModelState& State() const { return this->state; }

 private:
  ModelState state;
  bool fencing_enforced;
};

}  // namespace lentilhead::standin
