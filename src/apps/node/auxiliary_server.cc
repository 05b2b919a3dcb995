#include "apps/node/auxiliary_server.h"

#include "net/framing.h"
#include "net/log_line.h"
#include "net/socket_options.h"
#include "net/spawn.h"

namespace lentilhead::node {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout{5000};
constexpr milliseconds kSilenceTimeout{2000};
constexpr milliseconds kAcceptRetryDelay{20};
constexpr int kBacklog = 1024;  // absorbs a burst of new connections after an instance returns

}  // namespace

net::ErrorCode OpenListener(net::tcp::acceptor& acceptor, const net::tcp::endpoint& address) {
  net::ErrorCode error;
  acceptor.open(address.protocol(), error);
  if (!error) {
    acceptor.set_option(net::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(address, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  return error;
}

AuxiliaryServer::AuxiliaryServer(const net::asio::any_io_executor& executor, std::string name,
                                 Handler handler)
    : executor(executor), name(std::move(name)), handler(std::move(handler)), acceptor(executor) {}

net::ErrorCode AuxiliaryServer::Listen(const net::tcp::endpoint& address) {
  return OpenListener(this->acceptor, address);
}

std::uint16_t AuxiliaryServer::Port() const {
  net::ErrorCode ignored;
  return this->acceptor.local_endpoint(ignored).port();
}

awaitable<void> AuxiliaryServer::Run() {
  while (true) {
    auto [error, socket] = co_await this->acceptor.async_accept(net::kAwaitWithError);
    if (error == net::asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      net::LogLine("accept_failed").With("server", this->name).With("error", error.message());
      net::asio::steady_timer pause(this->executor, kAcceptRetryDelay);
      co_await pause.async_wait(net::kAwaitWithError);
      continue;
    }
    net::Spawn(this->executor, "serve_connection", this->Serve(std::move(socket)));
  }
}

awaitable<void> AuxiliaryServer::Serve(net::tcp::socket socket) {
  net::SetSocketOptions(socket, kSilenceTimeout);
  net::ErrorCode unknown;
  const net::tcp::endpoint caller = socket.remote_endpoint(unknown);
  net::beast::tcp_stream stream(std::move(socket));
  net::beast::flat_buffer buffer{net::kMaxFramingBytes};
  bool keep_alive = true;
  while (keep_alive) {
    net::Request request;
    stream.expires_after(kIdleTimeout);
    const auto [read_error, read] =
        co_await net::http::async_read(stream, buffer, request, net::kAwaitWithError);
    if (read_error) {
      break;
    }
    if (this->connect_handler && request.method() == net::http::verb::connect) {
      co_await this->connect_handler(std::move(request), caller, std::move(stream));
      co_return;
    }
    const bool is_ambiguous = net::IsBodyAmbiguous(request);
    keep_alive = request.keep_alive() && !is_ambiguous;
    net::Response response(net::http::status::bad_request, 11);
    if (!is_ambiguous) {
      response = co_await this->handler(std::move(request), caller);
    }
    response.version(11);
    response.keep_alive(keep_alive);
    response.prepare_payload();
    const auto [write_error, written] =
        co_await net::http::async_write(stream, response, net::kAwaitWithError);
    keep_alive = keep_alive && !write_error;
  }
}

}  // namespace lentilhead::node
