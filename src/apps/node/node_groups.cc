#include "apps/node/node_program.h"
#include "net/log_line.h"

namespace lentilhead::node {

void NodeProgram::UpdateGroup() {
  if (!this->presence.HasList()) {
    return;  // this node would take itself for the only one and send its peers no messages
  }
  const peers::PeerGroups& groups = this->presence.Groups();
  const std::pair current(groups.Version(), this->gateway.registry.ListVersion());
  if (current == this->group_versions) {
    return;
  }
  this->group_versions = current;
  std::vector<gateway::EndpointEntry> endpoints;
  for (const auto& [id, endpoint] : this->gateway.registry.All()) {
    endpoints.push_back(endpoint->entry);
  }
  const gateway::EndpointGroup group = groups.Select(endpoints);
  this->gateway.registry.SetGroup(group);
  this->peers.SetGroup(groups.OwnGroup(), groups.Count() == 1);
  std::vector<relay::RelayNode> nodes;
  for (const auto& [name, node] : groups.Nodes()) {
    nodes.push_back({node.address, node.zone});
  }
  this->gateway.paths.SetNodes(nodes);
  this->SetClaimPause(groups.Count() > 1);
  net::LogLine("group_changed", net::LogImportance::kRoutine)
      .With("groups", groups.Count())
      .With("nodes", groups.OwnGroup().size())
      .With("endpoints", group.shared_by.size())
      .With("of", endpoints.size());
}

}  // namespace lentilhead::node
