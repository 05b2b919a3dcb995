#pragma once

#include <optional>
#include <string_view>

#include "endpoint/types/load_report.h"

namespace lentilhead::endpoint::internal {

/// Parses the JSON body of a load report. @return no value if the body is not a valid report.
std::optional<LoadReport> ParseLoadReport(std::string_view body);

}  // namespace lentilhead::endpoint::internal
