#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/types/endpoint_load.h"
#include "gateway/types/failure_report.h"

namespace lentilhead::peers {

/// What a node tells its peers of itself, several times a second.
struct PeerMessage {
  std::string name;         ///< name of the node
  std::string incarnation;  ///< name of this start of the node
  std::uint64_t sequence = 0;
  std::int64_t config_version = -1;
  std::int64_t endpoints_version = 0;
  bool is_leaving = false;
  bool store_served = false;  ///< the store serves this node
  std::vector<std::uint32_t>
      unreachable_endpoints;  ///< keys of endpoints that it found out of reach
  std::vector<gateway::EndpointLoad> loads;
  gateway::FailureReport failures;
};

/// Encodes a message for a datagram.
[[nodiscard]] std::string Encode(const PeerMessage& message);

/// Reads a datagram. @return false when it is no message.
[[nodiscard]] bool Decode(const std::string& bytes, PeerMessage& message);

}  // namespace lentilhead::peers
