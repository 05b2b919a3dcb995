#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lentilhead::control::internal {

/// Endpoint that the controller sends orders to.
struct ManagedEndpoint {
  std::string name;
  std::string service;
  std::string address;
  std::string zone;
  bool fencing_checked = false;

  bool operator==(const ManagedEndpoint&) const = default;
};

/// What an endpoint should serve according to the sheet.
struct DesiredState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;

  bool operator==(const DesiredState&) const = default;
};

/// What an endpoint reports that it serves.
struct ObservedState {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
  bool draining = false;
  bool idle = false;  ///< A load report made while draining counts no running or waiting request.

  /// True if model, version, adapters and role are as desired, whether or not the endpoint drains.
  [[nodiscard]] bool Serves(const DesiredState& desired) const;

  /// True if model and version are as desired; adapters and role may differ.
  [[nodiscard]] bool HasVersion(const DesiredState& desired) const;
};

}  // namespace lentilhead::control::internal
