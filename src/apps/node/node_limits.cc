#include "apps/node/node_program.h"
#include "gateway/limit_changes.h"

namespace lentilhead::node {

void NodeProgram::ConnectLimits() {
  this->gateway.registry.Limits().OnNews([this] { this->peers.NoteChange(); });
}

void NodeProgram::PruneLimits() {
  for (const auto& [incarnation, change] : this->gateway.registry.Limits().Prune(net::Now())) {
    gateway::ReportLimitChange(this->gateway, incarnation, change, "time");
  }
}

}  // namespace lentilhead::node
