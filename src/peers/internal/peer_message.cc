#include "peers/types/peer_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lentilhead::peers {

namespace {

using nlohmann::json;

constexpr std::size_t kMinFields = 12;
constexpr std::size_t kLeavingField = 12;  // sent only if needed: older nodes reject it
constexpr std::size_t kPartsField = 13;    // sent only if needed
constexpr std::size_t kLimitsField = 14;   // sent only if needed
constexpr std::size_t kUsesField = 15;     // sent only if needed
constexpr std::size_t kWorkField = 16;     // sent only if needed; 15 is null if not used
constexpr std::size_t kCutOffField = 17;   // sent only if needed; 15 and 16 are null if not used
constexpr std::size_t kWorkFields = 5;     // for each of the loads
constexpr double kMaxAmount = 1e7;
constexpr double kMemoryUnit = 64;     // tokens
constexpr double kUnitTimeUnit = 0.1;  // milliseconds
constexpr std::chrono::milliseconds kSlowdownAgeUnit{10};
constexpr std::size_t kLimitFields = 7;
constexpr double kLimitUnit = 0.001;  // requests per second
constexpr std::size_t kPartHeadFields = 5;
constexpr std::size_t kPartEndFields = 4;
constexpr std::int64_t kNoAnswer = -1;
constexpr char kEvidenceName[] = "parts";
constexpr std::size_t kEvidenceFields = 3;  // the limits follow, sent only if needed
constexpr std::chrono::milliseconds kOutsideAgeUnit{100};

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

json EncodeParts(const std::vector<gateway::PartEvidence>& parts) {
  json list = json::array();
  for (const gateway::PartEvidence& part : parts) {
    json fields = {part.part, part.depth, part.answer_age ? part.answer_age->count() : kNoAnswer,
                   part.probes, part.probe_age.count()};
    for (const gateway::PartEnd& end : part.ends) {
      fields.push_back(end.endpoint);
      fields.push_back(end.request);
      fields.push_back(end.weight);
      fields.push_back(end.age.count());
    }
    list.push_back(std::move(fields));
  }
  return list;
}

/// Decodes a part; throws json::exception if a field has another type.
gateway::PartEvidence DecodePart(const json& fields) {
  gateway::PartEvidence part;
  fields.at(0).get_to(part.part);
  fields.at(1).get_to(part.depth);
  const auto answer_age = fields.at(2).get<std::int64_t>();
  if (answer_age >= 0) {
    part.answer_age = std::chrono::milliseconds(answer_age);
  }
  fields.at(3).get_to(part.probes);
  part.probe_age = std::chrono::milliseconds(fields.at(4).get<std::int64_t>());
  for (std::size_t index = kPartHeadFields; index + kPartEndFields <= fields.size();
       index += kPartEndFields) {
    part.ends.push_back({fields[index].get<std::uint32_t>(), fields[index + 1].get<std::uint32_t>(),
                         fields[index + 2].get<int>(),
                         std::chrono::milliseconds(fields[index + 3].get<std::int64_t>())});
  }
  return part;
}

std::vector<gateway::PartEvidence> DecodeParts(const json& list) {
  std::vector<gateway::PartEvidence> parts;
  for (const json& fields : list) {
    parts.push_back(DecodePart(fields));
  }
  return parts;
}

json EncodeLimits(const gateway::LimitReport& limits) {
  json endpoints = json::array();
  for (const gateway::EndpointLimitReport& endpoint : limits.endpoints) {
    endpoints.push_back(endpoint.incarnation);
    endpoints.push_back(std::llround(endpoint.limit / kLimitUnit));
    endpoints.push_back(endpoint.sent);
    endpoints.push_back(endpoint.namings);
    endpoints.push_back(endpoint.unnamed);
    endpoints.push_back(endpoint.named_age.count());
    endpoints.push_back(endpoint.known_age.count());
  }
  return {EncodeCounts(limits.demand), limits.batch_work, std::move(endpoints)};
}

/// Returns a duration of at least 0.
std::chrono::milliseconds DecodeAge(const json& field) {
  return std::chrono::milliseconds(std::max<std::int64_t>(0, field.get<std::int64_t>()));
}

/// Decodes limits; throws json::exception if a field has another type. @return false if fields are
/// missing.
bool DecodeLimits(const json& fields, gateway::LimitReport& limits) {
  const json& endpoints = fields.at(2);
  if (!DecodeCounts(fields.at(0), limits.demand) || !endpoints.is_array() ||
      endpoints.size() % kLimitFields != 0) {
    return false;
  }
  fields.at(1).get_to(limits.batch_work);
  limits.endpoints.clear();
  for (std::size_t index = 0; index < endpoints.size(); index += kLimitFields) {
    gateway::EndpointLimitReport endpoint;
    endpoints[index].get_to(endpoint.incarnation);
    endpoint.limit = std::max(0.0, endpoints[index + 1].get<double>() * kLimitUnit);
    endpoints[index + 2].get_to(endpoint.sent);
    endpoints[index + 3].get_to(endpoint.namings);
    endpoints[index + 4].get_to(endpoint.unnamed);
    endpoint.named_age = DecodeAge(endpoints[index + 5]);
    endpoint.known_age = DecodeAge(endpoints[index + 6]);
    limits.endpoints.push_back(endpoint);
  }
  return true;
}

/// Encodes the uses as lists, one a service: its key, then pairs of a customer and a number.
json EncodeUses(const std::vector<admission::CustomerUse>& uses) {
  std::map<std::uint32_t, json> services;
  for (const admission::CustomerUse& use : uses) {
    json& fields = services.try_emplace(use.service, json::array({use.service})).first->second;
    fields.push_back(use.customer);
    fields.push_back(use.slots);
  }
  json list = json::array();
  for (auto& [service, fields] : services) {
    list.push_back(std::move(fields));
  }
  return list;
}

/// Decodes uses; throws json::exception if a field has another type. @return false if fields are
/// missing.
bool DecodeUses(const json& list, std::vector<admission::CustomerUse>& uses) {
  if (!list.is_array()) {
    return false;
  }
  for (const json& fields : list) {
    if (!fields.is_array() || fields.size() % 2 != 1) {
      return false;
    }
    for (std::size_t index = 1; index < fields.size(); index += 2) {
      uses.push_back({fields[0].get<std::uint32_t>(), fields[index].get<std::uint32_t>(),
                      std::max(0, fields[index + 1].get<int>())});
    }
  }
  return true;
}

/// Encodes the work of the loads, in their order: five small numbers each.
json EncodeWork(const std::vector<gateway::EndpointLoad>& loads) {
  json fields = json::array();
  for (const gateway::EndpointLoad& load : loads) {
    const placement::PeerWork work = load.work.value_or(placement::PeerWork{});
    fields.push_back(std::llround(work.units));
    fields.push_back(std::llround(work.memory_tokens / kMemoryUnit));
    fields.push_back(std::llround(work.unit_ms / kUnitTimeUnit));
    fields.push_back(std::llround(100 * work.slowdown.value_or(0)));
    fields.push_back(work.slowdown_age / kSlowdownAgeUnit);
  }
  return fields;
}

/// Returns a number of at least 0; larger ones than can be meant count as the largest.
double DecodeAmount(const json& field) {
  return std::min(std::max(0.0, field.get<double>()), kMaxAmount);
}

/// Decodes the work of the loads; throws json::exception if a field has another type. Fields that
/// do not match the loads are left out: the counts apply then.
void DecodeWork(const json& fields, std::vector<gateway::EndpointLoad>& loads) {
  if (!fields.is_array() || fields.size() != loads.size() * kWorkFields) {
    return;
  }
  for (std::size_t index = 0; index < loads.size(); ++index) {
    const std::size_t at = index * kWorkFields;
    placement::PeerWork work;
    work.units = DecodeAmount(fields[at]);
    work.memory_tokens = DecodeAmount(fields[at + 1]) * kMemoryUnit;
    work.unit_ms = DecodeAmount(fields[at + 2]) * kUnitTimeUnit;
    if (const double percent = DecodeAmount(fields[at + 3]); percent > 0) {
      work.slowdown = percent / 100;
    }
    work.slowdown_age = DecodeAge(fields[at + 4]) * kSlowdownAgeUnit.count();
    const bool is_known = work.units > 0 || work.memory_tokens > 0 || work.unit_ms > 0;
    if (is_known || work.slowdown) {
      loads[index].work = work;
    }
  }
}

std::string ToDatagram(const json& fields) {
  const std::vector<std::uint8_t> bytes = json::to_msgpack(fields);
  return {bytes.begin(), bytes.end()};
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
  const bool has_uses = message.customer_uses.has_value();
  const bool has_work =
      std::any_of(message.loads.begin(), message.loads.end(),
                  [](const gateway::EndpointLoad& load) { return load.work.has_value(); });
  const bool has_limits = !message.limits.IsEmpty() || has_uses || has_work || message.is_cut_off;
  const bool has_parts = !message.parts.empty() || has_limits;
  if (!message.leaving_endpoints.empty() || has_parts) {
    fields.push_back(message.leaving_endpoints);
  }
  if (has_parts) {
    fields.push_back(EncodeParts(message.parts));
  }
  if (has_limits) {
    fields.push_back(EncodeLimits(message.limits));
  }
  if (has_uses || has_work || message.is_cut_off) {
    fields.push_back(has_uses ? EncodeUses(*message.customer_uses) : json());
  }
  if (has_work || message.is_cut_off) {
    fields.push_back(has_work ? EncodeWork(message.loads) : json());
  }
  if (message.is_cut_off) {
    fields.push_back(message.is_cut_off);
  }
  return ToDatagram(fields);
}

std::string Encode(const OtherGroupMessage& message) {
  json fields = {kEvidenceName, message.incarnation, EncodeParts(message.parts)};
  if (!message.limits.empty()) {
    json limits = json::array();
    for (const gateway::OutsideLimit& limit : message.limits) {
      limits.push_back(limit.incarnation);
      limits.push_back(limit.age / kOutsideAgeUnit);
    }
    fields.push_back(std::move(limits));
  }
  return ToDatagram(fields);
}

bool Decode(const std::string& bytes, OtherGroupMessage& message) {
  const json fields = json::from_msgpack(bytes, true, false);
  if (!fields.is_array() || fields.size() < kEvidenceFields || fields[0] != kEvidenceName) {
    return false;
  }
  try {
    fields[1].get_to(message.incarnation);
    message.parts = DecodeParts(fields[2]);
    message.limits.clear();
    const json limits = fields.size() > kEvidenceFields ? fields[kEvidenceFields] : json::array();
    for (std::size_t index = 0; index + 1 < limits.size(); index += 2) {
      message.limits.push_back({limits[index].get<std::uint32_t>(),
                                DecodeAge(limits[index + 1]) * kOutsideAgeUnit.count()});
    }
  } catch (const json::exception&) {
    return false;  // a field has another type
  }
  return true;
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
    message.parts.clear();
    if (fields.size() > kPartsField) {
      message.parts = DecodeParts(fields[kPartsField]);
    }
    message.limits = {};
    if (fields.size() > kLimitsField && !DecodeLimits(fields[kLimitsField], message.limits)) {
      return false;
    }
    message.customer_uses.reset();
    if (fields.size() > kUsesField && !fields[kUsesField].is_null() &&
        !DecodeUses(fields[kUsesField], message.customer_uses.emplace())) {
      return false;
    }
    message.is_cut_off = false;
    if (fields.size() > kCutOffField) {
      fields[kCutOffField].get_to(message.is_cut_off);
    }
    message.loads.clear();
    for (std::size_t index = 0; index < fields[6].size(); index += 3) {
      message.loads.push_back({fields[6][index].get<std::uint32_t>(),
                               fields[6][index + 1].get<int>(), fields[6][index + 2].get<int>()});
    }
    if (fields.size() > kWorkField) {
      DecodeWork(fields[kWorkField], message.loads);
    }
  } catch (const json::exception&) {
    return false;  // a field has another type
  }
  return true;
}

}  // namespace lentilhead::peers
