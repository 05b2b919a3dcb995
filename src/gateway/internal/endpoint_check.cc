#include "gateway/internal/endpoint_check.h"

#include <algorithm>
#include <array>
#include <functional>
#include <vector>

#include "gateway/gateway.h"
#include "gateway/internal/instance_query.h"
#include "net/socket_options.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// Far above a round trip; the caller of the request waits for the check.
constexpr milliseconds kConnectLimit{50};
// A process that accepts connections for an endpoint that is down drops them within a round trip.
constexpr milliseconds kDropLimit{20};
// The first packet of a connection may be lost; the system sends the next one only after a second.
constexpr int kMaxConnects = 3;
constexpr std::size_t kMaxOthers = 4;
// A health call waits for a slot of a full endpoint, as requests do.
constexpr milliseconds kAnswerLimit{500};
// An endpoint that drops new connections may still send the events of other answers.
constexpr milliseconds kDropPause{80};

/// Connects from the address of this node, as requests do: a cut may concern only this address.
awaitable<net::ErrorCode> Connect(Gateway& gateway, net::tcp::endpoint address,
                                  net::beast::tcp_stream& stream) {
  net::BindSource(stream.socket(), gateway.paths.OwnAddress());
  stream.expires_after(kConnectLimit);
  const auto [error] = co_await stream.async_connect(address, net::kAwaitWithError);
  co_return error;
}

/// Tells whether the other side drops a connection that was just opened.
awaitable<bool> IsDropped(net::beast::tcp_stream& stream) {
  std::array<char, 1> byte{};
  stream.expires_after(kDropLimit);
  const auto [error, read] =
      co_await stream.async_read_some(net::asio::buffer(byte), net::kAwaitWithError);
  co_return error&& error != net::beast::error::timeout;
}

/// Chooses listed endpoints of any service other than one. Those that answered last are the least
/// likely to have ended as well.
std::vector<net::tcp::endpoint> ChooseOthers(const Gateway& gateway, std::uint32_t key) {
  std::vector<const EndpointState*> others;
  for (const auto& [id, state] : gateway.registry.All()) {
    if (state->key != key && state->listed && !state->is_leaving && !state->entry.is_draining) {
      others.push_back(state.get());
    }
  }
  const std::size_t count = std::min(kMaxOthers, others.size());
  std::ranges::partial_sort(others, others.begin() + static_cast<std::ptrdiff_t>(count),
                            std::greater(), &EndpointState::last_answer);
  std::vector<net::tcp::endpoint> chosen;
  for (std::size_t index = 0; index < count; ++index) {
    chosen.push_back(others[index]->entry.address);
  }
  return chosen;
}

/// Tells whether this node reaches one of some endpoints. If not, what it lost says more of its own
/// connection than of an endpoint.
awaitable<bool> ReachesAny(Gateway& gateway, std::vector<net::tcp::endpoint> addresses) {
  for (const net::tcp::endpoint& address : addresses) {
    net::beast::tcp_stream stream(gateway.executor);
    const net::ErrorCode error = co_await Connect(gateway, address, stream);
    const bool is_reached = !error && !co_await IsDropped(stream);
    if (is_reached) {
      co_return true;
    }
  }
  co_return false;
}

/// Path of the health call of an endpoint's service; empty if that is not known.
std::string HealthPathOf(const Gateway& gateway, const EndpointState& endpoint) {
  const std::shared_ptr<const ServingConfig>& config = gateway.routes.Config();
  return config == nullptr ? std::string() : config->HealthPath(endpoint.entry.service);
}

/// What is behind an open connection to an endpoint. Without a health call, any process that does
/// not drop the connection counts as the endpoint.
awaitable<InstanceQuery::Reply> ReplyOn(std::shared_ptr<EndpointConnection> opened,
                                        std::string health_path, net::SteadyTime until) {
  if (!health_path.empty()) {
    const net::SteadyTime limit = std::min(until, net::Now() + kAnswerLimit);
    co_return co_await InstanceQuery::Ask(opened, health_path, limit);
  }
  const bool is_dropped = co_await IsDropped(opened->stream);
  co_return is_dropped ? InstanceQuery::Reply::kLost : InstanceQuery::Reply::kSame;
}

/// Looks for a sign of life of an endpoint that this node can't reach itself.
awaitable<LifeSign> FindSignThroughPeer(Gateway& gateway, std::shared_ptr<EndpointState> endpoint,
                                        std::string health_path, net::SteadyTime until) {
  if (health_path.empty()) {
    const bool is_accepted = co_await gateway.paths.IsAcceptedThroughPeer(endpoint, kDropLimit);
    co_return is_accepted ? LifeSign::kAccepted : LifeSign::kNone;
  }
  InstanceQuery::Reply reply = InstanceQuery::Reply::kLost;
  const EndpointPaths::Look look =
      [&](std::shared_ptr<EndpointConnection> opened) -> awaitable<bool> {
    reply = co_await ReplyOn(std::move(opened), health_path, until);
    co_return reply != InstanceQuery::Reply::kLost;
  };
  co_await gateway.paths.LookThroughPeers(endpoint, look);
  co_return reply == InstanceQuery::Reply::kSame ? LifeSign::kHealthAnswer : LifeSign::kNone;
}

/// What became of an endpoint that neither this node nor a peer reaches.
awaitable<EndpointFate> FateOfUnreached(Gateway& gateway, std::uint32_t key) {
  const std::vector<net::tcp::endpoint> others = ChooseOthers(gateway, key);
  const bool is_own_trouble = !others.empty() && !co_await ReachesAny(gateway, others);
  co_return is_own_trouble ? EndpointFate::kCutOff : EndpointFate::kEnded;
}

}  // namespace

awaitable<EndpointFate> EndpointCheck::Observe(Gateway& gateway, const EndpointState& endpoint) {
  const EndpointEntry entry = endpoint.entry;
  const std::uint32_t key = endpoint.key;
  const net::SteadyTime started = net::Now();
  net::beast::tcp_stream stream(gateway.executor);
  const net::ErrorCode connect_error = co_await Connect(gateway, endpoint.entry.address, stream);
  if (connect_error) {
    const bool is_cut_off = co_await gateway.paths.IsReachedByPeer(entry, key, started);
    if (is_cut_off) {
      co_return EndpointFate::kCutOff;
    }
    if (connect_error != net::asio::error::connection_refused) {
      co_return EndpointFate::kUnknown;
    }
    co_return co_await FateOfUnreached(gateway, key);
  }
  if (gateway.idle_connections.IsOpen(endpoint.incarnation)) {
    co_return EndpointFate::kAlive;
  }
  const bool is_dropped = co_await IsDropped(stream);
  if (!is_dropped) {
    co_return EndpointFate::kUnknown;
  }
  const bool is_cut_off = co_await gateway.paths.IsReachedByPeer(entry, key, started);
  if (is_cut_off) {
    co_return EndpointFate::kCutOff;
  }
  co_return co_await FateOfUnreached(gateway, key);
}

awaitable<LifeSign> EndpointCheck::FindLifeSign(
    Gateway& gateway, std::shared_ptr<const EndpointConnection> connection, AnswerEndTime end,
    net::SteadyTime until) {
  const std::shared_ptr<EndpointState> endpoint = connection->endpoint;
  const std::string path = HealthPathOf(gateway, *endpoint);
  if (connection->through) {
    const bool is_peer_alive =
        !end.MayBeStartedBefore(end.read) &&
        co_await gateway.paths.IsAlive(*connection->through, net::Now() + kConnectLimit);
    co_return is_peer_alive ? co_await FindSignThroughPeer(gateway, endpoint, path, until)
                            : LifeSign::kNone;
  }
  net::ErrorCode error = net::beast::error::timeout;
  bool was_lost = false;  // if so, a process that answers later may have been started since
  for (int connects = 0; connects < kMaxConnects && net::Now() < until &&
                         error != net::asio::error::connection_refused;
       ++connects) {
    auto opened = std::make_shared<EndpointConnection>(gateway.executor, endpoint);
    error = co_await Connect(gateway, endpoint->entry.address, opened->stream);
    if (error) {
      continue;
    }
    const bool may_be_new = was_lost || end.MayBeStartedBefore(net::Now());
    const InstanceQuery::Reply reply = co_await ReplyOn(opened, path, until);
    if (reply == InstanceQuery::Reply::kSame && !may_be_new) {
      co_return path.empty() ? LifeSign::kAccepted : LifeSign::kHealthAnswer;
    }
    if (reply == InstanceQuery::Reply::kOther) {
      co_return LifeSign::kNone;
    }
    if (gateway.paths.WasHeardAfter(endpoint->key, end, kDropLimit)) {
      co_return LifeSign::kOtherAnswer;
    }
    if (reply != InstanceQuery::Reply::kLost) {
      co_return LifeSign::kNone;
    }
    was_lost = true;
    if (gateway.idle_connections.IsOpen(endpoint->incarnation)) {
      co_return LifeSign::kIdleConnection;
    }
    net::asio::steady_timer pause(gateway.executor, kDropPause);
    co_await pause.async_wait(net::kAwaitWithError);
  }
  // Where this node is cut off since, a peer may still tell.
  co_return error == net::beast::error::timeout && !end.MayBeStartedBefore(end.read)
      ? co_await FindSignThroughPeer(gateway, endpoint, path, until)
      : LifeSign::kNone;
}

}  // namespace lentilhead::gateway::internal
