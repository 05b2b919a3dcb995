#pragma once

#include <string>

namespace lentilhead::datastore {

enum class ListedState { kLive, kLeaving };

/// Entry of the platform's lagging list: an instance of lentilhead or an endpoint of a service.
struct ListedInstance {
  std::string name;
  std::string address;  ///< `ip:port`.
  std::string zone;
  ListedState state = ListedState::kLive;

  bool operator==(const ListedInstance&) const = default;
};

}  // namespace lentilhead::datastore
