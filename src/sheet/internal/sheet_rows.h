#pragma once

#include <optional>
#include <string>

#include "datastore/types/table_row.h"
#include "sheet/types/sheet_history_entry.h"

namespace lentilhead::sheet::internal {

inline constexpr const char* kSheetPartition = "sheet";
inline constexpr const char* kHistoryPartition = "sheet_history";
inline constexpr const char* kCurrentKey = "current";

/// Key of a revision in the history; sorts by revision.
std::string HistoryKey(Revision revision);

/// Key of the object that holds a sheet's text. Equal texts share one object.
std::string BodyKey(const std::string& digest);

/// Writes an entry into a row's value and leaves its other properties.
void PutEntry(nlohmann::json& value, const SheetHistoryEntry& entry);

/// Reads an entry. @return no value if the row is malformed.
std::optional<SheetHistoryEntry> ReadEntry(const datastore::TableRow& row);

}  // namespace lentilhead::sheet::internal
