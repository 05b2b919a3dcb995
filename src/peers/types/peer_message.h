#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/types/customer_use.h"
#include "gateway/types/endpoint_load.h"
#include "gateway/types/failure_report.h"
#include "gateway/types/limit_report.h"
#include "gateway/types/outside_limit.h"
#include "gateway/types/part_evidence.h"

namespace lentilhead::peers {

/// The state that a node sends to its peers several times a second.
struct PeerMessage {
  std::string name;
  std::string incarnation;  ///< name of this start of the node
  std::uint64_t sequence = 0;
  std::int64_t config_version = -1;
  std::int64_t endpoints_version = 0;
  bool is_leaving = false;
  bool store_served = false;  ///< whether the store serves this node
  // Keys of endpoints that the node could not reach.
  std::vector<std::uint32_t> unreachable_endpoints;
  std::vector<gateway::EndpointLoad> loads;
  gateway::FailureReport failures;
  /// Incarnations of endpoints that told the node that they are leaving.
  std::vector<std::uint32_t> leaving_endpoints;
  std::vector<gateway::PartEvidence> parts;  ///< under which endpoints ended
  gateway::LimitReport limits;               ///< on requests, which endpoints name
  /// Slots in use by customer. None in most messages, and without customers or from older nodes.
  std::optional<std::vector<admission::CustomerUse>> customer_uses;
  bool is_cut_off = false;  ///< the node reaches no endpoint, though its peers may
};

/// Encodes a message as a datagram.
[[nodiscard]] std::string Encode(const PeerMessage& message);

/// Decodes a datagram. @return false if it is not a message.
[[nodiscard]] bool Decode(const std::string& bytes, PeerMessage& message);

/// What a node tells a node of another group.
struct OtherGroupMessage {
  std::string incarnation;  ///< of the sender
  std::vector<gateway::PartEvidence> parts;
  std::vector<gateway::OutsideLimit> limits;  ///< that endpoints name
};

/// Encodes a message for another group as a datagram.
[[nodiscard]] std::string Encode(const OtherGroupMessage& message);

/// Decodes a datagram. @return false if it is not such a message.
[[nodiscard]] bool Decode(const std::string& bytes, OtherGroupMessage& message);

}  // namespace lentilhead::peers
