#include <utility>

#include "sheet/sheet_in_force.h"

namespace lentilhead::sheet {

bool SheetInForce::Offer(std::shared_ptr<const AcceptedSheet> offered) {
  if (offered == nullptr || offered->revision <= this->CurrentRevision()) {
    return false;
  }
  this->current = std::move(offered);
  // A handler may offer a newer sheet or add a handler.
  const std::shared_ptr<const AcceptedSheet> taken = this->current;
  for (std::size_t index = 0; index < this->handlers.size(); ++index) {
    const ChangeHandler handler = this->handlers[index];
    handler(*taken);
  }
  return true;
}

Revision SheetInForce::CurrentRevision() const {
  return this->current == nullptr ? 0 : this->current->revision;
}

void SheetInForce::OnChange(ChangeHandler handler) { this->handlers.push_back(std::move(handler)); }

}  // namespace lentilhead::sheet
