#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lentilhead::datastore {

/// Row of the platform's table service.
struct TableRow {
  std::string partition;
  std::string key;
  std::string etag;      ///< Version given by the table; empty for a row not yet stored.
  nlohmann::json value;  ///< Object with the row's own properties.
};

}  // namespace lentilhead::datastore
