#pragma once

#include <string>

#include "load/types/load_report.h"

namespace lentilhead::load {

/// Renders the report as plain-text tables.
std::string RenderTable(const LoadReport& report);

/// Renders the report as JSON.
std::string RenderJson(const LoadReport& report);

/// Renders the report as one HTML page with plots.
std::string RenderHtml(const LoadReport& report);

}  // namespace lentilhead::load
