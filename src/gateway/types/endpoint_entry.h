#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// An entry of the endpoint list.
struct EndpointEntry {
  std::string id;
  std::string service;
  net::tcp::endpoint address;
  std::string zone;
  int slots = 1;                     ///< requests that the endpoint runs concurrently
  bool is_draining = false;          ///< accepts no new requests
  std::int64_t started_unix_ms = 0;  ///< start time of the process behind the endpoint
};

}  // namespace lentilhead::gateway
