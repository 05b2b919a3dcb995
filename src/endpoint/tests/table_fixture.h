#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "endpoint/internal/endpoint_table.h"

namespace lentilhead::endpoint::internal {

constexpr const char* kService = "profiles";

inline framework::MonotonicTime At(std::chrono::milliseconds time) {
  return framework::MonotonicTime(time);
}

inline EndpointSettings TableSettings(const std::string& policy = "bounded_turns") {
  EndpointSettings settings;
  settings.services.push_back({.name = kService});
  settings.policy = policy;
  return settings;
}

inline datastore::ListedInstance Listed(
    int number, datastore::ListedState state = datastore::ListedState::kLive) {
  const std::string text = std::to_string(number);
  return {.name = "e" + text,
          .address = "127.0.0.1:" + std::to_string(9'000 + number),
          .zone = "zone-" + std::string(1, static_cast<char>('a' + number % 3)),
          .state = state};
}

inline std::vector<datastore::ListedInstance> ListOf(int count) {
  std::vector<datastore::ListedInstance> listed;
  listed.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    listed.push_back(Listed(number));
  }
  return listed;
}

inline LoadReport ReportOf(const std::string& version, int running = 0) {
  return {.running = running, .slots = 8, .model = "model", .version = version};
}

inline RouteRequest Request(std::string version = "") {
  return {.service = kService, .model = "model", .version = std::move(version)};
}

}  // namespace lentilhead::endpoint::internal
