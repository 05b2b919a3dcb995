#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "sheet/types/sheet.h"

namespace lentilhead::sheet {

/// The sheet that governs this process. Its revision never falls.
class SheetInForce {
 public:
  using ChangeHandler = std::function<void(const AcceptedSheet&)>;

  /// Takes a sheet if its revision is higher. @return true if it was taken.
  bool Offer(std::shared_ptr<const AcceptedSheet> offered);

  /// Returns the sheet in force, or null before the first.
  [[nodiscard]] std::shared_ptr<const AcceptedSheet> Current() const { return this->current; }

  /// Returns the revision in force; 0 before the first sheet.
  [[nodiscard]] Revision CurrentRevision() const;

  /// Calls back after each change. The handler must outlive this object.
  void OnChange(ChangeHandler handler);

 private:
  std::shared_ptr<const AcceptedSheet> current;
  std::vector<ChangeHandler> handlers;
};

}  // namespace lentilhead::sheet
