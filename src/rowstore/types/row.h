#pragma once

#include <cstdint>
#include <string>

namespace lentilhead::rowstore {

/// Version of a row or of the whole store; 0 stands for a row that does not exist.
using Version = std::int64_t;

/// Address of a row.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;

  bool operator==(const RowKey&) const = default;
};

/// A row as read, or a removal as seen in a feed.
struct Row {
  RowKey key;
  std::string value;
  Version version = 0;
  bool removed = false;
};

}  // namespace lentilhead::rowstore
