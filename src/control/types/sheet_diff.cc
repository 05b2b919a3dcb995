#include "control/types/sheet_diff.h"

#include <algorithm>

namespace lentilhead::control {

namespace {

using sheet::SheetRow;

/// Removes the rows that occur in both lists from both.
void RemoveCommonRows(std::vector<SheetRow>& before, std::vector<SheetRow>& after) {
  std::erase_if(before, [&after](const SheetRow& row) {
    const auto found = std::find(after.begin(), after.end(), row);
    if (found == after.end()) {
      return false;
    }
    after.erase(found);
    return true;
  });
}

bool HasSameKey(const SheetRow& left, const SheetRow& right) {
  return left.service == right.service && left.model == right.model &&
         left.adapter == right.adapter;
}

}  // namespace

SheetDiff CompareSheets(const sheet::Sheet& before, const sheet::Sheet& after) {
  SheetDiff diff{after.rows, before.rows, {}};
  RemoveCommonRows(diff.removed, diff.added);
  std::erase_if(diff.removed, [&diff](const SheetRow& row) {
    const auto found =
        std::find_if(diff.added.begin(), diff.added.end(),
                     [&row](const SheetRow& other) { return HasSameKey(row, other); });
    if (found == diff.added.end()) {
      return false;
    }
    diff.changed.emplace_back(row, *found);
    diff.added.erase(found);
    return true;
  });
  return diff;
}

}  // namespace lentilhead::control
