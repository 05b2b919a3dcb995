#include "control/internal/assignment.h"

#include <algorithm>

#include "framework/hash.h"

namespace lentilhead::control::internal {

namespace {

constexpr std::chrono::minutes kDay{24 * 60};

std::string RoleText(const std::set<sheet::Role>& roles) {
  if (roles.size() != 1) {
    return "online|batch";
  }
  return roles.contains(sheet::Role::kOnline) ? "online" : "batch";
}

DesiredState DesiredOf(const sheet::SheetRow& row) {
  DesiredState desired{row.model, row.version, {}, RoleText(row.roles)};
  if (!row.adapter.empty()) {
    desired.adapters.push_back(row.adapter);
  }
  return desired;
}

/// Returns the unassigned endpoints that the row may use, by zone and in rendezvous order within
/// each zone.
std::map<std::string, std::vector<const ManagedEndpoint*>> CandidatesOf(
    const sheet::SheetRow& row, const std::vector<ManagedEndpoint>& endpoints,
    const std::map<std::string, DesiredState>& assigned) {
  std::vector<const ManagedEndpoint*> usable;
  std::vector<std::string> names;
  for (const ManagedEndpoint& endpoint : endpoints) {
    const bool in_zone = row.zones.empty() || row.zones.contains(endpoint.zone);
    if (endpoint.service == row.service && in_zone && !assigned.contains(endpoint.name)) {
      usable.push_back(&endpoint);
      names.push_back(endpoint.name);
    }
  }
  std::map<std::string, std::vector<const ManagedEndpoint*>> zones;
  const std::string key = row.service + "\n" + row.model + "\n" + row.adapter;
  for (const std::size_t index : framework::RendezvousOrder(key, names)) {
    zones[usable[index]->zone].push_back(usable[index]);
  }
  return zones;
}

void AssignRow(const sheet::SheetRow& row, const std::vector<ManagedEndpoint>& endpoints,
               std::map<std::string, DesiredState>& assigned) {
  const auto zones = CandidatesOf(row, endpoints, assigned);
  int remaining = row.capacity;
  for (std::size_t rank = 0; remaining > 0; ++rank) {
    bool found = false;
    for (const auto& [zone, candidates] : zones) {
      if (rank < candidates.size() && remaining > 0) {
        assigned.emplace(candidates[rank]->name, DesiredOf(row));
        remaining -= 1;
        found = true;
      }
    }
    if (!found) {
      return;
    }
  }
}

}  // namespace

bool IsActive(const sheet::Window& window, std::chrono::minutes time_of_day) {
  if (window.start <= window.end) {
    return window.start <= time_of_day && time_of_day < window.end;
  }
  return time_of_day >= window.start || time_of_day < window.end;
}

std::vector<const sheet::SheetRow*> RowsToServe(const sheet::Sheet& sheet,
                                                std::chrono::minutes time_of_day,
                                                std::chrono::minutes lead) {
  std::vector<const sheet::SheetRow*> active;
  std::vector<const sheet::SheetRow*> upcoming;
  for (const sheet::SheetRow& row : sheet.rows) {
    const auto until_start = (row.window.start - time_of_day + kDay) % kDay;
    if (row.model.empty()) {
      continue;
    }
    if (IsActive(row.window, time_of_day)) {
      active.push_back(&row);
    } else if (until_start <= lead) {
      upcoming.push_back(&row);
    }
  }
  active.insert(active.end(), upcoming.begin(), upcoming.end());
  return active;
}

std::map<std::string, DesiredState> Assign(const std::vector<const sheet::SheetRow*>& rows,
                                           const std::vector<ManagedEndpoint>& endpoints) {
  std::map<std::string, DesiredState> assigned;
  for (const sheet::SheetRow* row : rows) {
    AssignRow(*row, endpoints, assigned);
  }
  return assigned;
}

}  // namespace lentilhead::control::internal
