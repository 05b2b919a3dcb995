#pragma once

#include <string>

namespace lentilhead::standin {

enum class ListState { kLive, kLeaving, kRemoved };

/// Change of one entry of a service's list.
struct ListEntry {
  std::string name;
  std::string address;  ///< `ip:port`.
  std::string zone;
  ListState state = ListState::kLive;
};

}  // namespace lentilhead::standin
