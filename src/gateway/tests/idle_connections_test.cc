#include "gateway/internal/idle_connections.h"

#include <doctest/doctest.h>

#include <string_view>

namespace lentilhead::gateway::internal {
namespace {

constexpr std::uint32_t kIncarnation = 7;
constexpr std::chrono::milliseconds kLongAfter{60000};
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// A connection after its answer, and the endpoint's side of it.
struct IdleFixture {
  IdleFixture() {
    net::tcp::acceptor acceptor(this->loop, {net::asio::ip::address_v4::loopback(), 0});
    this->endpoint->incarnation = kIncarnation;
    auto connection =
        std::make_shared<EndpointConnection>(this->loop.get_executor(), this->endpoint);
    connection->stream.socket().connect(acceptor.local_endpoint());
    acceptor.accept(this->remote);
    this->idle.Keep(std::move(connection), net::Now());
  }

  /// Waits until the connection shows what the endpoint did.
  void AwaitArrival() {
    for (int wait = 0; wait < 200 && this->idle.IsOpen(kIncarnation); ++wait) {
      net::asio::steady_timer(this->loop, std::chrono::milliseconds(5)).wait();
    }
  }

  double CountStray() {
    return static_cast<double>(
        this->metrics.GetCounter("gateway_stray_bytes_total", {{"place", "idle"}}).Value());
  }

  net::asio::io_context loop;
  framework::Metrics metrics;
  std::shared_ptr<EndpointState> endpoint = std::make_shared<EndpointState>();
  IdleConnections idle{this->metrics};
  net::tcp::socket remote{this->loop};
};

TEST_CASE("an endpoint lives while the connection of its last answer is open") {
  IdleFixture fixture;
  CHECK(fixture.idle.IsOpen(kIncarnation));
  CHECK_FALSE(fixture.idle.IsOpen(kIncarnation + 1));
  fixture.remote.close();
  fixture.AwaitArrival();
  CHECK_FALSE(fixture.idle.IsOpen(kIncarnation));
}

TEST_CASE("bytes that follow an answer are counted once and close its connection") {
  IdleFixture fixture;
  net::asio::write(fixture.remote, net::asio::buffer(kLastChunk));
  fixture.AwaitArrival();
  fixture.idle.Prune(net::Now());
  fixture.idle.Prune(net::Now());
  CHECK(fixture.CountStray() == 1);
  CHECK_FALSE(fixture.idle.IsOpen(kIncarnation));
}

TEST_CASE("idle connections are closed after some seconds") {
  IdleFixture fixture;
  fixture.idle.Prune(net::Now());
  CHECK(fixture.idle.IsOpen(kIncarnation));
  fixture.idle.Prune(net::Now() + kLongAfter);
  CHECK_FALSE(fixture.idle.IsOpen(kIncarnation));
}

}  // namespace
}  // namespace lentilhead::gateway::internal
