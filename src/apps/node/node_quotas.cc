#include "apps/node/node_program.h"

namespace lentilhead::node {

void NodeProgram::UpdateQuotas() {
  const std::shared_ptr<const gateway::ServingConfig>& config = this->gateway.routes.Config();
  if (config && config->version != this->quota_config_version) {
    this->quota_config_version = config->version;
    this->quotas.SetCustomers(config->customers);
  }
  const peers::PeerGroups& groups = this->presence.Groups();
  if (this->presence.HasList() && groups.Version() != this->quota_list_version) {
    this->quota_list_version = groups.Version();
    std::map<std::string, net::asio::ip::address> listed;
    for (const auto& [name, node] : groups.Listed()) {
      listed[name] = node.address;
    }
    this->quotas.SetNodes(listed);
  }
}

}  // namespace lentilhead::node
