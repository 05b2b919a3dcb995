#include "sheet/types/sheet.h"

namespace lentilhead::sheet {

namespace {

bool Serves(const SheetRow& row, const std::string& model) {
  if (row.service == model) {
    return true;
  }
  if (row.model.empty()) {
    return false;
  }
  return row.adapter.empty() ? row.model == model : row.model + ":" + row.adapter == model;
}

}  // namespace

std::vector<const SheetRow*> Sheet::RowsOf(const std::string& service) const {
  std::vector<const SheetRow*> found;
  for (const SheetRow& row : this->rows) {
    if (row.service == service) {
      found.push_back(&row);
    }
  }
  return found;
}

const SheetRow* Sheet::FindModel(const std::string& model) const {
  for (const SheetRow& row : this->rows) {
    if (Serves(row, model)) {
      return &row;
    }
  }
  return nullptr;
}

}  // namespace lentilhead::sheet
