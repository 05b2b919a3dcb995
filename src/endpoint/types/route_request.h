#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace lentilhead::endpoint {

/// Requirements of one attempt that routing must meet.
struct RouteRequest {
  std::string service;
  std::string model;               ///< Empty for plain services.
  std::string version;             ///< Empty allows any version.
  std::uint64_t prefix_hash = 0;   ///< Hash of the prompt's prefix; 0 if there is none.
  std::set<std::string> zones;     ///< Allowed availability zones; empty allows all.
  std::set<std::string> excluded;  ///< Endpoints already tried.
  std::string adapter;             ///< Adapter that must be loaded; empty requires none.
  std::string role;                ///< Role that the endpoint must have; empty allows any.
};

}  // namespace lentilhead::endpoint
