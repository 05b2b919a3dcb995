#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "rowstore/types/row.h"

namespace lentilhead::peers {

/// The configuration and the list of endpoints as this node last learnt them, and their way into
/// the gateway. Configurations never go back to an older version.
class ClusterView {
 public:
  explicit ClusterView(gateway::Gateway& gateway) : gateway(gateway) {}

  /// Takes over a configuration if it is newer.
  /// @param source where it comes from, for the log.
  void AdoptConfig(const std::string& text, std::string_view source);

  /// Takes over the whole list of endpoints as of a version of the store.
  /// @param keep_missing_until endpoints that the list lacks stay usable until then.
  void ReplaceEndpoints(const std::vector<rowstore::Row>& rows, rowstore::Version version,
                        net::SteadyTime keep_missing_until, std::string_view source);

  /// Takes over changed entries.
  /// @param keep_removed_until endpoints that were removed stay usable until then.
  void ChangeEndpoints(const std::vector<rowstore::Row>& rows, rowstore::Version version,
                       net::SteadyTime keep_removed_until);

  [[nodiscard]] rowstore::Version EndpointsVersion() const { return this->endpoints_version; }

  /// The whole view as text, for a peer.
  [[nodiscard]] std::string Encode() const;

  /// Takes over a peer's view as far as it is newer.
  /// @param include_endpoints the list of endpoints may come from the peer.
  void AdoptEncoded(const std::string& text, bool include_endpoints);

 private:
  void PutEndpoint(const rowstore::Row& row, net::SteadyTime keep_until);

  gateway::Gateway& gateway;
  std::string config_text;
  std::map<std::string, std::string> endpoint_values;
  rowstore::Version endpoints_version = 0;
};

}  // namespace lentilhead::peers
