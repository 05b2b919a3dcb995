#include "gateway/internal/endpoint_check.h"

namespace lentilhead::gateway::internal {

namespace {

// Far above a round trip; the caller of the request waits for the check.
constexpr std::chrono::milliseconds kCheckLimit{50};

}  // namespace

net::asio::awaitable<bool> EndpointCheck::HasEnded(net::asio::any_io_executor executor,
                                                   net::tcp::endpoint address) {
  net::beast::tcp_stream stream(executor);
  stream.expires_after(kCheckLimit);
  const auto [error] = co_await stream.async_connect(address, net::kAwaitWithError);
  co_return error == net::asio::error::connection_refused;
}

}  // namespace lentilhead::gateway::internal
