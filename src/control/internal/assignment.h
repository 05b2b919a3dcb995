#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "control/internal/endpoint_state.h"
#include "sheet/types/sheet.h"

namespace lentilhead::control::internal {

/// True if the window covers the time of day. A window may span midnight.
bool IsActive(const sheet::Window& window, std::chrono::minutes time_of_day);

/// Returns the rows to serve: those active now, then those whose window starts within the lead
/// time.
std::vector<const sheet::SheetRow*> RowsToServe(const sheet::Sheet& sheet,
                                                std::chrono::minutes time_of_day,
                                                std::chrono::minutes lead);

/// Assigns endpoints to rows, row by row.
///
/// A row's capacity is spread evenly over the zones. Within a zone, endpoints are taken in
/// rendezvous order of the row's service, model and adapter. The version is not part of the key, so
/// a new version is assigned to the endpoints of the old one. If an endpoint is lost or added, few
/// others change their assignment.
/// @return desired state by name of the assigned endpoints.
std::map<std::string, DesiredState> Assign(const std::vector<const sheet::SheetRow*>& rows,
                                           const std::vector<ManagedEndpoint>& endpoints);

}  // namespace lentilhead::control::internal
