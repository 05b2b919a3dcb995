#pragma once

#include <string>

namespace lentilhead::rowstore {

/// Keys of one part of a table, in byte order.
struct RowRange {
  std::string table;
  std::string part;
  std::string from;              ///< first key; empty for the start of the part
  std::string to;                ///< first key past the range; empty for the end of the part
  bool first_page_only = false;  ///< stop after the rows of one answer of the store
};

}  // namespace lentilhead::rowstore
