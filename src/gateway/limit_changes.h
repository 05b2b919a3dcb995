#pragma once

#include <cstdint>
#include <string_view>

#include "gateway/types/limit_change.h"

namespace lentilhead::gateway {

struct Gateway;

/// Logs and counts a change of the limit that an endpoint names; does nothing for
/// LimitChange::kNone.
/// @param incarnation of the endpoint. @param source what the node knows the change from.
void ReportLimitChange(Gateway& gateway, std::uint32_t incarnation, LimitChange change,
                       std::string_view source);

}  // namespace lentilhead::gateway
