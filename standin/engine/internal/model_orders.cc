#include "standin/engine/internal/model_orders.h"

#include <algorithm>

namespace lentilhead::standin {

framework::Reply<framework::Done, StaleFencingToken> ModelOrders::Admit(
    std::uint64_t fencing_token) {
  if (this->fencing_enforced && fencing_token < this->state.fencing_token) {
    return StaleFencingToken{this->state.fencing_token};
  }
  this->state.fencing_token = std::max(this->state.fencing_token, fencing_token);
  this->state.orders += 1;
  return framework::Done{};
}

}  // namespace lentilhead::standin
