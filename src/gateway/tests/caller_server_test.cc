#include "gateway/caller_server.h"

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

namespace lentilhead::gateway {
namespace {

namespace asio = net::asio;
using std::chrono::milliseconds;

constexpr char kRequest[] = "GET /job HTTP/1.1\r\nHost: h\r\n\r\n";

std::shared_ptr<const ServingConfig> ConfigWithBatchRoute() {
  Route route;
  route.host = "h";
  route.path_prefix = "/batch/";
  route.kind = RouteKind::kBatch;
  auto config = std::make_shared<ServingConfig>();
  config->version = 1;
  config->routes.push_back(std::move(route));
  return config;
}

TEST_CASE("a request whose task fails is answered, and its connection is closed") {
  asio::io_context loop{1};
  Gateway gateway(loop.get_executor(), "a");
  gateway.routes.Adopt(ConfigWithBatchRoute());
  gateway.endpoints_loaded = true;
  CallerServer server(
      gateway,
      [](const InferenceRequest&, const RoutedRequest&, CancelScope&)
          -> asio::awaitable<net::Response> { throw std::runtime_error("out of memory"); },
      milliseconds(1000), [](const InferenceRequest&) { return true; },
      [](const InferenceRequest&) { return false; });
  net::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  net::tcp::socket caller(loop);
  caller.connect(acceptor.local_endpoint());
  asio::co_spawn(loop, server.Accept(acceptor), asio::detached);
  asio::write(caller, asio::buffer(std::string(kRequest)));
  loop.run_for(milliseconds(50));

  CHECK(server.RequestsInFlight() == 0);
  CHECK(server.OpenConnections() == 0);
  caller.non_blocking(true);
  net::beast::flat_buffer buffer;
  net::Response response;
  net::http::read(caller, buffer, response);
  CHECK(response.result() == net::http::status::bad_gateway);
  char byte = 0;
  net::ErrorCode error;
  caller.read_some(asio::buffer(&byte, 1), error);
  CHECK(error == asio::error::eof);
}

// Guards against requests that are rejected by default limits while the configured ones, which may
// be wider, have not been read.
TEST_CASE("a request beyond the default limits is refused while there is no configuration") {
  asio::io_context loop{1};
  Gateway gateway(loop.get_executor(), "a");
  CallerServer server(
      gateway,
      [](const InferenceRequest&, const RoutedRequest&,
         CancelScope&) -> asio::awaitable<net::Response> { co_return net::Response(); },
      milliseconds(1000), [](const InferenceRequest&) { return true; },
      [](const InferenceRequest&) { return false; });
  net::tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
  asio::co_spawn(loop, server.Accept(acceptor), asio::detached);
  const CallerLimits defaults;
  const std::string heads[] = {
      "POST /x HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(defaults.header_bytes, 'a'),
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(defaults.body_bytes + 1) +
          "\r\n\r\n"};
  for (const std::string& head : heads) {
    net::tcp::socket caller(loop);
    caller.connect(acceptor.local_endpoint());
    asio::write(caller, asio::buffer(head));
    loop.restart();
    loop.run_for(milliseconds(50));
    caller.non_blocking(true);
    net::beast::flat_buffer buffer;
    net::Response response;
    net::ErrorCode error;
    net::http::read(caller, buffer, response, error);
    CHECK_FALSE(error);
    CHECK(response.result() == net::http::status::service_unavailable);
    CHECK(response.find(net::http::field::retry_after) != response.end());
  }
}

}  // namespace
}  // namespace lentilhead::gateway
