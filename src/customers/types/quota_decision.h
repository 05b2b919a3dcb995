#pragma once

#include <chrono>
#include <string_view>

namespace lentilhead::customers {

/// Who decided whether a request of a customer with a quota may go.
enum class QuotaDecider {
  kNode,     ///< this node: the customer is far below its quota, or was refused just now
  kCounter,  ///< a counting node
  kShare,    ///< this node, within its share of the quota, as no counting node answers
};

/// Name of a decider in logs and metrics.
[[nodiscard]] constexpr std::string_view NameOf(QuotaDecider decider) {
  switch (decider) {
    case QuotaDecider::kNode:
      return "node";
    case QuotaDecider::kCounter:
      return "counter";
    case QuotaDecider::kShare:
      return "share";
  }
  return "";
}

/// Decision on a request.
struct QuotaDecision {
  bool is_admitted = false;
  QuotaDecider decider = QuotaDecider::kNode;
  std::chrono::milliseconds retry_after{0};  ///< until the quota has room, if refused
  double demand = 0;  ///< requests of the customer per second at all nodes, as far as known
};

}  // namespace lentilhead::customers
