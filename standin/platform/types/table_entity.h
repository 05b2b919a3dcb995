#pragma once

#include <string>

namespace lentilhead::standin {

/// Entity of the in-memory table.
struct TableEntity {
  std::string partition;
  std::string key;
  std::string etag;
  std::string value;  ///< String property `Value`, the only one.
};

}  // namespace lentilhead::standin
