#include "peers/types/peer_message.h"

#include <nlohmann/json.hpp>

namespace lentilhead::peers {

namespace {

using nlohmann::json;

constexpr std::size_t kMinFields = 12;
constexpr std::size_t kLeavingField = 12;  // sent only if needed: older nodes reject it

json EncodeCounts(const std::vector<gateway::KeyedCount>& counts) {
  json fields = json::array();
  for (const gateway::KeyedCount& count : counts) {
    fields.push_back(count.key);
    fields.push_back(count.tenths);
  }
  return fields;
}

/// Decodes pairs of a key and a count. @return false if the fields are no such pairs.
bool DecodeCounts(const json& fields, std::vector<gateway::KeyedCount>& counts) {
  counts.clear();
  if (!fields.is_array() || fields.size() % 2 != 0) {
    return false;
  }
  for (std::size_t index = 0; index < fields.size(); index += 2) {
    counts.push_back({fields[index].get<std::uint32_t>(), fields[index + 1].get<int>()});
  }
  return true;
}

}  // namespace

std::string Encode(const PeerMessage& message) {
  json loads = json::array();
  for (const gateway::EndpointLoad& load : message.loads) {
    loads.push_back(load.endpoint_key);
    loads.push_back(load.online);
    loads.push_back(load.batch);
  }
  json fields = {message.name,
                 message.incarnation,
                 message.sequence,
                 message.config_version,
                 message.endpoints_version,
                 message.is_leaving,
                 std::move(loads),
                 message.store_served,
                 message.unreachable_endpoints,
                 message.failures.zone,
                 EncodeCounts(message.failures.attempts),
                 EncodeCounts(message.failures.failures)};
  if (!message.leaving_endpoints.empty()) {
    fields.push_back(message.leaving_endpoints);
  }
  const std::vector<std::uint8_t> bytes = json::to_msgpack(fields);
  return {bytes.begin(), bytes.end()};
}

bool Decode(const std::string& bytes, PeerMessage& message) {
  const json fields = json::from_msgpack(bytes, true, false);
  if (!fields.is_array() || fields.size() < kMinFields || !fields[6].is_array() ||
      fields[6].size() % 3 != 0) {
    return false;
  }
  try {
    fields[0].get_to(message.name);
    fields[1].get_to(message.incarnation);
    fields[2].get_to(message.sequence);
    fields[3].get_to(message.config_version);
    fields[4].get_to(message.endpoints_version);
    fields[5].get_to(message.is_leaving);
    fields[7].get_to(message.store_served);
    fields[8].get_to(message.unreachable_endpoints);
    fields[9].get_to(message.failures.zone);
    if (!DecodeCounts(fields[10], message.failures.attempts) ||
        !DecodeCounts(fields[11], message.failures.failures)) {
      return false;
    }
    message.leaving_endpoints.clear();
    if (fields.size() > kLeavingField) {
      fields[kLeavingField].get_to(message.leaving_endpoints);
    }
    message.loads.clear();
    for (std::size_t index = 0; index < fields[6].size(); index += 3) {
      message.loads.push_back({fields[6][index].get<std::uint32_t>(),
                               fields[6][index + 1].get<int>(), fields[6][index + 2].get<int>()});
    }
  } catch (const json::exception&) {
    return false;  // a field has another type
  }
  return true;
}

}  // namespace lentilhead::peers
