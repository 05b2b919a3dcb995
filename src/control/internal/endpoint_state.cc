#include "control/internal/endpoint_state.h"

#include <algorithm>

namespace lentilhead::control::internal {

bool ObservedState::Serves(const DesiredState& desired) const {
  const bool has_adapters =
      std::all_of(desired.adapters.begin(), desired.adapters.end(), [this](const auto& adapter) {
        return std::find(this->adapters.begin(), this->adapters.end(), adapter) !=
               this->adapters.end();
      });
  const bool has_role = this->role.empty() || this->role == desired.role;
  return this->HasVersion(desired) && has_adapters && has_role;
}

bool ObservedState::HasVersion(const DesiredState& desired) const {
  return this->model == desired.model && this->version == desired.version;
}

}  // namespace lentilhead::control::internal
