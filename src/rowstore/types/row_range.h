#pragma once

#include <string>

namespace lentilhead::rowstore {

/// A range of keys in a partition of a table, in byte order.
struct RowRange {
  std::string table;
  std::string part;
  std::string from;              ///< first key; empty for the start of the partition
  std::string to;                ///< first key past the range; empty for the end of the partition
  bool first_page_only = false;  ///< stop after the first answer of the store
};

}  // namespace lentilhead::rowstore
