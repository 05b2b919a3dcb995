#pragma once

#include <string>

namespace lentilhead::standin {

enum class ListState { kLive, kLeaving, kRemoved };

/// Entry of a service's instance list, or a change of one.
struct ListEntry {
  std::string name;
  std::string address;  ///< `ip:port`.
  std::string zone;
  ListState state = ListState::kLive;
};

}  // namespace lentilhead::standin
