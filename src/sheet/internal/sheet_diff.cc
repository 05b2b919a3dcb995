#include "sheet/sheet_diff.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace lentilhead::sheet {

namespace {

using Rows = std::vector<std::optional<SheetRow>>;

/// Identity of a row, from equal to merely serving the same thing.
using RowKey =
    std::tuple<std::string, std::string, std::string, std::set<std::string>, std::set<Role>,
               std::chrono::minutes, std::chrono::minutes, std::string, int>;

RowKey ThingOf(const SheetRow& row) {
  return {row.service, row.model, row.adapter, {}, {}, {}, {}, "", 0};
}

RowKey PlaceOf(const SheetRow& row) {
  return {row.service,      row.model,      row.adapter, row.zones, row.roles,
          row.window.start, row.window.end, "",          0};
}

RowKey WholeOf(const SheetRow& row) {
  return {row.service,      row.model,      row.adapter, row.zones,   row.roles,
          row.window.start, row.window.end, row.version, row.capacity};
}

/// Takes the rows with equal keys out of both sheets, in the order of the sheets.
template <class KeyOf>
std::vector<ChangedRow> TakePairs(Rows& before, Rows& after, KeyOf key_of) {
  std::map<RowKey, std::vector<std::size_t>> positions;
  for (std::size_t index = before.size(); index > 0; --index) {
    if (before[index - 1]) {
      positions[key_of(*before[index - 1])].push_back(index - 1);
    }
  }
  std::vector<ChangedRow> pairs;
  for (std::optional<SheetRow>& row : after) {
    const auto found = row ? positions.find(key_of(*row)) : positions.end();
    if (found == positions.end() || found->second.empty()) {
      continue;
    }
    std::optional<SheetRow>& counterpart = before[found->second.back()];
    found->second.pop_back();
    pairs.push_back({*counterpart, *row});
    counterpart.reset();
    row.reset();
  }
  return pairs;
}

std::vector<SheetRow> TakeRest(Rows& rows) {
  std::vector<SheetRow> rest;
  for (std::optional<SheetRow>& row : rows) {
    if (row) {
      rest.push_back(*std::move(row));
    }
  }
  return rest;
}

}  // namespace

SheetDiff Diff(const Sheet& before, const Sheet& after) {
  Rows old_rows(before.rows.begin(), before.rows.end());
  Rows new_rows(after.rows.begin(), after.rows.end());
  TakePairs(old_rows, new_rows, WholeOf);
  SheetDiff diff;
  diff.changed = TakePairs(old_rows, new_rows, PlaceOf);
  for (ChangedRow& pair : TakePairs(old_rows, new_rows, ThingOf)) {
    diff.changed.push_back(std::move(pair));
  }
  diff.added = TakeRest(new_rows);
  diff.removed = TakeRest(old_rows);
  return diff;
}

}  // namespace lentilhead::sheet
