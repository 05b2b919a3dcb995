#include "fleet/types/fleet_view.h"

#include <algorithm>

#include "framework/hash.h"

namespace lentilhead::fleet {

namespace {

bool MayOwn(const FleetInstance& instance) {
  return instance.state == InstanceState::kAlive || instance.state == InstanceState::kSuspect;
}

}  // namespace

std::vector<std::string> FleetView::OwnerNames() const {
  std::vector<std::string> names;
  for (const FleetInstance& instance : this->instances) {
    if (MayOwn(instance)) {
      names.push_back(instance.name);
    }
  }
  return names;
}

std::vector<std::string> FleetView::BatchOwnerNames() const {
  std::vector<std::string> names;
  for (const FleetInstance& instance : this->instances) {
    if (MayOwn(instance) && !instance.batch_address.empty()) {
      names.push_back(instance.name);
    }
  }
  return names;
}

const FleetInstance* FleetView::Find(const std::string& name) const {
  const auto found = std::lower_bound(
      this->instances.begin(), this->instances.end(), name,
      [](const FleetInstance& instance, const std::string& key) { return instance.name < key; });
  return found != this->instances.end() && found->name == name ? &*found : nullptr;
}

std::string FleetView::BatchOwnerOf(const std::string& key) const {
  const std::vector<std::string> owners = this->BatchOwnerNames();
  return owners.empty() ? std::string() : owners[framework::RendezvousOwner(key, owners)];
}

}  // namespace lentilhead::fleet
