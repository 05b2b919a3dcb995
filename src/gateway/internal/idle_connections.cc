#include "gateway/internal/idle_connections.h"

#include "gateway/internal/stray_bytes.h"
#include "net/socket_options.h"

namespace lentilhead::gateway::internal {

namespace {

constexpr std::chrono::milliseconds kMaxIdleTime{4000};

}  // namespace

void IdleConnections::Keep(Connection connection, net::SteadyTime now) {
  connection->stream.expires_never();
  // Empty, but after a large answer its capacity is that of large reads.
  connection->buffer.shrink_to_fit();
  connection->idle_since = now;
  Connection& kept = this->connections[connection->endpoint->incarnation];
  if (kept) {
    this->ReportStray(*kept);
  }
  kept = std::move(connection);
}

bool IdleConnections::IsOpen(std::uint32_t incarnation) const {
  const auto found = this->connections.find(incarnation);
  return found != this->connections.end() && net::IsIdleAndOpen(found->second->stream.socket());
}

bool IdleConnections::ReportStray(EndpointConnection& connection) {
  const std::size_t bytes = net::AvailableBytes(connection.stream.socket());
  if (bytes > 0) {
    ReportStrayBytes(this->metrics, connection, StrayPlace::kIdle, bytes);
  }
  return bytes > 0;
}

void IdleConnections::Prune(net::SteadyTime now) {
  std::erase_if(this->connections, [&](const auto& item) {
    EndpointConnection& connection = *item.second;
    return this->ReportStray(connection) || !connection.endpoint->listed ||
           now - connection.idle_since >= kMaxIdleTime ||
           !net::IsIdleAndOpen(connection.stream.socket());
  });
}

}  // namespace lentilhead::gateway::internal
