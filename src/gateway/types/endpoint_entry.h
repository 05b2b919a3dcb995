#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// An endpoint as listed.
struct EndpointEntry {
  std::string id;
  std::string service;
  net::tcp::endpoint address;
  std::string zone;
  int slots = 1;                     ///< requests that it runs at once
  bool is_draining = false;          ///< takes no new work
  std::int64_t started_unix_ms = 0;  ///< start of this incarnation
};

}  // namespace lentilhead::gateway
