#pragma once

#include <cstdint>
#include <string>

namespace lentilhead::rowstore {

/// Version of a row or of the whole store; 0 means that the row does not exist.
using Version = std::int64_t;

/// Identifies a row.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;

  bool operator==(const RowKey&) const = default;
};

/// A row that was read, or a removal in a feed.
struct Row {
  RowKey key;
  std::string value;
  Version version = 0;
  bool removed = false;
};

}  // namespace lentilhead::rowstore
