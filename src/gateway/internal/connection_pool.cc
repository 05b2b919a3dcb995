#include "gateway/internal/connection_pool.h"

#include <algorithm>

#include "gateway/internal/stray_bytes.h"
#include "net/socket_options.h"

namespace lentilhead::gateway::internal {

namespace {

// More than the requests that a node has in flight at one endpoint.
constexpr std::size_t kMaxIdlePerEndpoint = 12;
// Peers carry a bounded number of connections; a new one takes a few milliseconds.
constexpr std::size_t kMaxIdleThroughPeer = 2;
constexpr std::chrono::milliseconds kIdleThroughPeer{300};

}  // namespace

bool ConnectionPool::IsReusable(EndpointConnection& connection,
                                std::chrono::milliseconds longest_idle, net::SteadyTime now) {
  const std::size_t stray = net::AvailableBytes(connection.stream.socket());
  if (stray > 0) {
    ReportStrayBytes(this->metrics, connection, StrayPlace::kIdle, stray);
    return false;
  }
  const auto limit =
      std::min({longest_idle, connection.idle_limit, connection.endpoint->IdleLimit(now)});
  return now - connection.idle_since < limit && connection.buffer.size() == 0 &&
         net::IsIdleAndOpen(connection.stream.socket());
}

ConnectionPool::Connection ConnectionPool::Take(const EndpointState& endpoint,
                                                std::chrono::milliseconds longest_idle,
                                                bool through_peer, net::SteadyTime now) {
  const auto found = this->idle.find(endpoint.entry.id);
  if (found == this->idle.end()) {
    return nullptr;
  }
  std::erase_if(found->second, [&](const Connection& connection) {
    return connection->through.has_value() != through_peer;
  });
  while (!found->second.empty()) {
    Connection connection = std::move(found->second.back());
    found->second.pop_back();
    if (connection->endpoint.get() == &endpoint &&
        this->IsReusable(*connection, longest_idle, now)) {
      connection->is_reused = true;
      connection->idle_before = net::ToMilliseconds(now - connection->idle_since);
      return connection;
    }
  }
  return nullptr;
}

bool ConnectionPool::HasOpen(const EndpointState& endpoint) const {
  const auto found = this->idle.find(endpoint.entry.id);
  return found != this->idle.end() &&
         std::ranges::any_of(found->second, [&](const Connection& connection) {
           return connection->endpoint.get() == &endpoint && !connection->through &&
                  net::IsIdleAndOpen(connection->stream.socket());
         });
}

void ConnectionPool::Return(Connection connection, net::SteadyTime now) {
  std::vector<Connection>& list = this->idle[connection->endpoint->entry.id];
  if (list.size() >= (connection->through ? kMaxIdleThroughPeer : kMaxIdlePerEndpoint)) {
    return;
  }
  if (connection->through) {
    connection->idle_limit = std::min(connection->idle_limit, kIdleThroughPeer);
  }
  connection->stream.expires_never();
  connection->idle_since = now;
  list.push_back(std::move(connection));
}

void ConnectionPool::Prune(net::SteadyTime now) {
  for (auto& [id, list] : this->idle) {
    std::erase_if(list, [&](const Connection& connection) {
      return !connection->endpoint->listed ||
             !this->IsReusable(*connection, connection->idle_limit, now);
    });
  }
  std::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
}

}  // namespace lentilhead::gateway::internal
