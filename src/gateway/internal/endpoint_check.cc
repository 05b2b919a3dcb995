#include "gateway/internal/endpoint_check.h"

#include <array>

#include "gateway/gateway.h"
#include "net/socket_options.h"

namespace lentilhead::gateway::internal {

namespace {

using std::chrono::milliseconds;

// Far above a round trip; the caller of the request waits for the check.
constexpr milliseconds kConnectLimit{50};
// A process that accepts connections for an endpoint that is down drops them within a round trip.
constexpr milliseconds kDropLimit{20};

}  // namespace

net::asio::awaitable<EndpointFate> EndpointCheck::Observe(Gateway& gateway,
                                                          const EndpointState& endpoint) {
  const net::tcp::endpoint address = endpoint.entry.address;
  const EndpointEntry entry = endpoint.entry;
  const std::uint32_t key = endpoint.key;
  const net::SteadyTime started = net::Now();
  net::beast::tcp_stream stream(gateway.executor);
  // From the address of this node, as requests connect: a cut may concern only this address.
  net::BindSource(stream.socket(), gateway.paths.OwnAddress());
  stream.expires_after(kConnectLimit);
  const auto [connect_error] = co_await stream.async_connect(address, net::kAwaitWithError);
  if (connect_error) {
    const bool is_cut_off = co_await gateway.paths.IsReachedByPeer(entry, key, started);
    if (is_cut_off) {
      co_return EndpointFate::kCutOff;
    }
    co_return connect_error == net::asio::error::connection_refused ? EndpointFate::kEnded
                                                                    : EndpointFate::kUnknown;
  }
  if (gateway.idle_connections.IsOpen(endpoint.incarnation)) {
    co_return EndpointFate::kAlive;
  }
  std::array<char, 1> byte{};
  stream.expires_after(kDropLimit);
  const auto [read_error, read] =
      co_await stream.async_read_some(net::asio::buffer(byte), net::kAwaitWithError);
  const bool is_dropped = read_error && read_error != net::beast::error::timeout;
  if (is_dropped) {
    const bool is_cut_off = co_await gateway.paths.IsReachedByPeer(entry, key, started);
    if (is_cut_off) {
      co_return EndpointFate::kCutOff;
    }
  }
  co_return is_dropped ? EndpointFate::kEnded : EndpointFate::kUnknown;
}

}  // namespace lentilhead::gateway::internal
