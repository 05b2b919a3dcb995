#pragma once

#include <optional>
#include <string_view>

#include "fleet/types/fleet_instance.h"

namespace lentilhead::fleet {

/// Returns the name of a state in lower case, for messages, logs and operators.
const char* NameOf(InstanceState state);

/// Returns the state with a name, or no value if there is none.
std::optional<InstanceState> InstanceStateOf(std::string_view name);

}  // namespace lentilhead::fleet
