#pragma once

#include <string>

#include "net/http_types.h"

namespace lentilhead::peers {

/// A node as the table of nodes lists it.
struct ListedNode {
  std::string name;
  std::string zone;  ///< availability zone; empty if the row does not tell it
  net::asio::ip::address address;

  bool operator==(const ListedNode&) const = default;
};

}  // namespace lentilhead::peers
