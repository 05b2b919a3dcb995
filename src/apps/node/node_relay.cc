#include "apps/node/node_program.h"

namespace lentilhead::node {

relay::TunnelServer NodeProgram::MakeTunnelServer() {
  return {this->executor,
          this->settings.callers.address(),
          this->gateway.memory,
          [this](const net::asio::ip::address& caller, const net::tcp::endpoint& target) {
            const relay::TunnelPermit permit = this->gateway.paths.PermitTunnel(caller, target);
            const bool is_granted = permit == relay::TunnelPermit::kGranted;
            return is_granted && this->gateway.stopping ? relay::TunnelPermit::kLeaving : permit;
          },
          [this](const net::tcp::endpoint& target, bool reached) {
            this->gateway.paths.RecordTunnel(target, reached);
          },
          [this](std::string_view outcome) {
            this->gateway.metrics
                .GetCounter("node_relay_requests_total", {{"outcome", std::string(outcome)}})
                .Add();
          }};
}

void NodeProgram::ConnectRelay() {
  this->gateway.paths.UsePeers(this->settings.callers.address(), this->peer_server.Port());
  this->peer_server.OnConnect(
      [this](net::Request request, net::tcp::endpoint caller, net::beast::tcp_stream stream) {
        return this->tunnel_server.Serve(std::move(request), std::move(caller), std::move(stream));
      });
  this->Spawn("watch_paths", this->gateway.paths.Run());
}

}  // namespace lentilhead::node
