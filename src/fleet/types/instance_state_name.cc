#include "fleet/types/instance_state_name.h"

namespace lentilhead::fleet {

const char* NameOf(InstanceState state) {
  switch (state) {
    case InstanceState::kAlive:
      return "alive";
    case InstanceState::kSuspect:
      return "suspect";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kDead:
      return "dead";
  }
  return "unknown";
}

std::optional<InstanceState> InstanceStateOf(std::string_view name) {
  for (const InstanceState state : {InstanceState::kAlive, InstanceState::kSuspect,
                                    InstanceState::kLeaving, InstanceState::kDead}) {
    if (name == NameOf(state)) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace lentilhead::fleet
