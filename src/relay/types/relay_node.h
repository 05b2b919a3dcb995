#pragma once

#include <string>

#include "net/http_types.h"

namespace lentilhead::relay {

/// A node that may connect this one to endpoints.
struct RelayNode {
  net::asio::ip::address address;
  std::string zone;
};

}  // namespace lentilhead::relay
