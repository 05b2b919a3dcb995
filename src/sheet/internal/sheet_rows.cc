#include "sheet/internal/sheet_rows.h"

#include <cstdio>

namespace lentilhead::sheet::internal {

std::string HistoryKey(Revision revision) {
  char key[24];
  std::snprintf(key, sizeof key, "%020llu", static_cast<unsigned long long>(revision));  // NOLINT
  return key;
}

std::string BodyKey(const std::string& digest) { return "sheets/" + digest + ".csv"; }

void PutEntry(nlohmann::json& value, const SheetHistoryEntry& entry) {
  using std::chrono::milliseconds;
  const auto since_epoch = entry.accepted_at.time_since_epoch();
  value["revision"] = entry.revision;
  value["submitted_by"] = entry.submitted_by;
  value["accepted_at_ms"] = std::chrono::duration_cast<milliseconds>(since_epoch).count();
  value["digest"] = entry.digest;
}

std::optional<SheetHistoryEntry> ReadEntry(const datastore::TableRow& row) {
  SheetHistoryEntry entry;
  try {
    entry.revision = row.value.at("revision").get<Revision>();
    entry.submitted_by = row.value.at("submitted_by").get<std::string>();
    entry.accepted_at = framework::WallTime(
        std::chrono::milliseconds(row.value.at("accepted_at_ms").get<std::int64_t>()));
    entry.digest = row.value.at("digest").get<std::string>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return entry;
}

}  // namespace lentilhead::sheet::internal
