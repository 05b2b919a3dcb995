#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "customers/types/node_key.h"

namespace lentilhead::customers {

/// What a node tells and asks a counting node about one customer.
struct QuotaAsk {
  std::uint32_t customer = 0;  ///< key of the customer
  std::int64_t used = 0;  ///< requests admitted by this start of the node, less those given back
  int wanted = 0;         ///< requests that wait for the answer
  int recent = 0;         ///< of the used ones, those of the last 5 s
  int held = 0;           ///< requests that the node has refused itself since it asked last
  bool is_free = false;   ///< the node admits requests of the customer without asking
  bool wants_answer = true;
  bool is_late = false;  ///< the requests may have been sent long before, as the node stalled
};

/// A datagram from a node to a counting node.
struct QuotaRequest {
  NodeKey node = 0;            ///< the sender
  std::uint32_t start = 0;     ///< names the start of the sender
  std::uint64_t sequence = 0;  ///< grows with each datagram of the sender
  std::vector<QuotaAsk> asks;
};

/// What a counting node answers about one customer.
struct QuotaAnswer {
  std::uint32_t customer = 0;  ///< key of the customer
  int granted = 0;
  bool must_ask = true;   ///< the customer is near its quota: ask before admitting a request
  bool is_young = false;  ///< the counting node has counted for a short time only
  std::chrono::milliseconds retry_after{0};  ///< until the quota has room; 0 if it has
  /// Time for which a node that was refused requests refuses the requests of the customer itself.
  std::chrono::milliseconds hold{0};
  double share = 0;   ///< of the asking node in the demand of all
  double demand = 0;  ///< requests per second at all nodes
};

/// A datagram from a counting node to a node.
struct QuotaReply {
  NodeKey node = 0;            ///< the counting node
  std::uint32_t start = 0;     ///< names the start of the counting node
  std::uint64_t sequence = 0;  ///< of the datagram that is answered; 0 for a notice
  std::vector<QuotaAnswer> answers;
};

/// Encodes a datagram.
[[nodiscard]] std::string Encode(const QuotaRequest& request);
[[nodiscard]] std::string Encode(const QuotaReply& reply);

/// Decodes a datagram. @return false if it is not such a message.
[[nodiscard]] bool Decode(const std::string& bytes, QuotaRequest& request);
[[nodiscard]] bool Decode(const std::string& bytes, QuotaReply& reply);

}  // namespace lentilhead::customers
