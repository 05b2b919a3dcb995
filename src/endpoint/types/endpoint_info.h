#pragma once

#include <string>

namespace lentilhead::endpoint {

/// An endpoint of a service as the platform lists it.
struct EndpointInfo {
  std::string name;
  std::string service;
  std::string address;  ///< `ip:port`.
  std::string zone;

  bool operator==(const EndpointInfo&) const = default;
};

}  // namespace lentilhead::endpoint
