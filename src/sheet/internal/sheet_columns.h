#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "sheet/internal/csv_record.h"

namespace lentilhead::sheet::internal {

enum class Column { kService, kModel, kVersion, kAdapter, kCapacity, kZones, kRoles, kWindow };

inline constexpr std::array<std::string_view, 8> kColumnNames{
    "service", "model", "version", "adapter", "capacity", "zones", "roles", "window"};

/// Where each column stands in the records.
class SheetColumns {
 public:
  /// Reads the header. A missing, unknown or repeated column becomes a problem.
  static SheetColumns Read(const CsvRecord& header, std::vector<SheetProblem>& problems);

  /// Position of a column; no value if the header lacks it.
  [[nodiscard]] std::optional<std::size_t> PositionOf(Column column) const {
    return this->positions[static_cast<std::size_t>(column)];
  }

  /// Number of columns in the header.
  [[nodiscard]] std::size_t Count() const { return this->count; }

 private:
  std::array<std::optional<std::size_t>, kColumnNames.size()> positions;
  std::size_t count = 0;
};

}  // namespace lentilhead::sheet::internal
