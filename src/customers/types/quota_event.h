#pragma once

#include <cstdint>

#include "customers/types/node_key.h"

namespace lentilhead::customers {

/// A change that operators are told of.
struct QuotaEvent {
  enum class Kind {
    kLimitingBegan,     ///< this node refuses requests of a customer
    kLimitingEnded,     ///< it has refused none for a while
    kFellBack,          ///< no counting node answers; this node uses its share
    kRecovered,         ///< a counting node answers again
    kCounterSilent,     ///< a counting node does not answer
    kCounterReachable,  ///< it answers again
    kTimedOut,          ///< a question was not answered in time
  };
  Kind kind = Kind::kTimedOut;
  std::uint32_t customer = 0;  ///< key of the customer; 0 for a counting node
  NodeKey node = 0;            ///< counting node; 0 for a customer
};

}  // namespace lentilhead::customers
