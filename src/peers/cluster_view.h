#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "rowstore/types/row.h"

namespace lentilhead::peers {

/// The newest configuration and list of endpoints that this node has received. Passes them to the
/// gateway, and never replaces a configuration by an older one.
class ClusterView {
 public:
  explicit ClusterView(gateway::Gateway& gateway) : gateway(gateway) {}

  /// Adopts a configuration if it is newer.
  /// @param source origin of the configuration, for the log.
  void AdoptConfig(const std::string& text, std::string_view source);

  /// Replaces the list of endpoints by a complete list, from the store or a peer.
  /// @param keep_missing_until time until which endpoints that the list lacks stay usable.
  void ReplaceEndpoints(const std::vector<rowstore::Row>& rows, rowstore::Version version,
                        net::SteadyTime keep_missing_until, std::string_view source);

  /// Applies changed entries.
  /// @param keep_removed_until time until which endpoints that were removed stay usable.
  void ChangeEndpoints(const std::vector<rowstore::Row>& rows, rowstore::Version version,
                       net::SteadyTime keep_removed_until);

  [[nodiscard]] rowstore::Version EndpointsVersion() const { return this->endpoints_version; }

  /// Encodes the whole view for a peer.
  [[nodiscard]] std::string Encode() const;

  /// Adopts the parts of a peer's view that are newer.
  /// @param include_endpoints whether the peer's list of endpoints may be adopted, too.
  void AdoptEncoded(const std::string& text, bool include_endpoints);

 private:
  void PutEndpoint(const rowstore::Row& row, net::SteadyTime keep_until);

  gateway::Gateway& gateway;
  std::string config_text;
  std::map<std::string, std::string> endpoint_values;
  rowstore::Version endpoints_version = 0;
};

}  // namespace lentilhead::peers
