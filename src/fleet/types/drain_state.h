#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace lentilhead::fleet {

/// Endpoints and instances that operators drain. Replicated to every instance; the revision never
/// decreases.
struct DrainState {
  std::uint64_t revision = 0;
  std::set<std::string> endpoints;
  std::set<std::string> instances;

  bool operator==(const DrainState&) const = default;
};

}  // namespace lentilhead::fleet
