#include "relay/tunnel_server.h"

#include <array>
#include <charconv>
#include <optional>
#include <string>

#include "net/held_bytes.h"
#include "net/log_line.h"
#include "net/socket_options.h"
#include "net/spawn.h"
#include "relay/types/tunnel_outcome.h"
#include "relay/types/wire.h"

namespace lentilhead::relay {

namespace {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

// The node that asks has its own limit, within which it may ask another peer.
constexpr milliseconds kConnectLimit{60};
constexpr milliseconds kAnswerLimit{500};
constexpr milliseconds kTcpSilenceTimeout{2000};
constexpr std::string_view kGrantedHead = "HTTP/1.1 200 Connection Established\r\n\r\n";

/// Decodes ADDRESS:PORT, with brackets around an address of version 6.
std::optional<net::tcp::endpoint> DecodeAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  net::ErrorCode error;
  const auto address = net::asio::ip::make_address(std::string(host), error);
  if (error || failed != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return net::tcp::endpoint(address, port);
}

/// Reason for the refusal of a known caller that asks for a listed endpoint.
TunnelOutcome ReasonOf(TunnelPermit permitted) {
  if (permitted == TunnelPermit::kCutOff) {
    return TunnelOutcome::kCutOff;
  }
  return permitted == TunnelPermit::kLeaving ? TunnelOutcome::kLeaving : TunnelOutcome::kFull;
}

/// Ends a connection so that its peer sees an error instead of an end, which could look like the
/// end of an answer without framing.
void Reset(net::tcp::socket& socket) {
  net::ErrorCode ignored;
  socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

/// A connection of a peer to an endpoint.
struct TunnelServer::Tunnel {
  Tunnel(net::beast::tcp_stream node, net::beast::tcp_stream endpoint,
         std::shared_ptr<std::size_t> open, Count count, net::MemoryBudget& memory)
      : node(std::move(node)),
        endpoint(std::move(endpoint)),
        open(std::move(open)),
        count(std::move(count)),
        held(&memory) {
    this->held.Set(2 * kBufferBytes);  // one buffer a direction
  }
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;
  ~Tunnel() { --*this->open; }

  net::beast::tcp_stream node;
  net::beast::tcp_stream endpoint;
  std::shared_ptr<std::size_t> open;
  Count count;
  net::HeldBytes held;
  bool is_ended = false;
  bool is_writing_to_endpoint = false;
};

TunnelServer::TunnelServer(net::asio::any_io_executor executor, net::asio::ip::address own,
                           net::MemoryBudget& memory, Permit permit, OnConnect on_connect,
                           Count count)
    : executor(std::move(executor)),
      own(std::move(own)),
      memory(memory),
      permit(std::move(permit)),
      on_connect(std::move(on_connect)),
      count(std::move(count)) {}

awaitable<void> TunnelServer::Refuse(net::beast::tcp_stream& stream, status code,
                                     std::string_view reason) {
  this->count(reason);
  net::Response response(code, 11);
  response.set(kReasonHeader, reason);
  response.keep_alive(false);
  response.prepare_payload();
  stream.expires_after(kAnswerLimit);
  co_await net::http::async_write(stream, response, net::kAwaitWithError);
}

awaitable<void> TunnelServer::Serve(net::Request request, net::tcp::endpoint caller,
                                    net::beast::tcp_stream stream) {
  const std::optional<net::tcp::endpoint> target = DecodeAddress(request.target());
  const TunnelPermit permitted =
      target ? this->permit(caller.address(), *target) : TunnelPermit::kUnknownEndpoint;
  if (permitted == TunnelPermit::kUnknownCaller || permitted == TunnelPermit::kUnknownEndpoint) {
    net::LogLine("relay_refused")
        .With("peer", caller.address().to_string())
        .With("address", std::string(request.target()))
        .With("listed_peer", permitted != TunnelPermit::kUnknownCaller);
    co_await this->Refuse(stream, status::forbidden, NameOf(TunnelOutcome::kNotListed));
    co_return;
  }
  if (permitted != TunnelPermit::kGranted || *this->open >= kMaxTunnels) {
    co_await this->Refuse(stream, status::service_unavailable, NameOf(ReasonOf(permitted)));
    co_return;
  }
  ++*this->open;
  auto tunnel = std::make_shared<Tunnel>(std::move(stream), net::beast::tcp_stream(this->executor),
                                         this->open, this->count, this->memory);
  net::BindSource(tunnel->endpoint.socket(), this->own);
  tunnel->endpoint.expires_after(kConnectLimit);
  const auto [error] = co_await tunnel->endpoint.async_connect(*target, net::kAwaitWithError);
  this->on_connect(*target, !error);
  if (error) {
    co_await this->Refuse(tunnel->node, status::bad_gateway, NameOf(TunnelOutcome::kUnreachable));
    co_return;
  }
  net::SetSocketOptions(tunnel->endpoint.socket(), kTcpSilenceTimeout);
  this->count(NameOf(TunnelOutcome::kGranted));
  tunnel->node.expires_after(kAnswerLimit);
  const auto [write_error, written] = co_await net::asio::async_write(
      tunnel->node, net::asio::buffer(kGrantedHead), net::kAwaitWithError);
  if (write_error) {
    co_return;
  }
  net::Spawn(this->executor, "relay_bytes", Forward(tunnel, true));
  co_await Forward(std::move(tunnel), false);
}

awaitable<void> TunnelServer::Forward(std::shared_ptr<Tunnel> tunnel, bool to_endpoint) {
  net::beast::tcp_stream& source = to_endpoint ? tunnel->node : tunnel->endpoint;
  net::beast::tcp_stream& sink = to_endpoint ? tunnel->endpoint : tunnel->node;
  // Beast has one time limit a stream and direction; the sockets are used without it, and the
  // options of the sockets end a connection whose other side is gone.
  source.expires_never();
  std::array<char, kBufferBytes> bytes{};
  net::ErrorCode failed;
  bool is_end = false;
  while (!failed && !is_end) {
    const auto [read_error, read] =
        co_await source.socket().async_read_some(net::asio::buffer(bytes), net::kAwaitWithError);
    is_end = read_error == net::asio::error::eof;
    if (read_error) {
      failed = is_end ? net::ErrorCode() : read_error;
      break;
    }
    tunnel->is_writing_to_endpoint = tunnel->is_writing_to_endpoint || to_endpoint;
    const auto [write_error, written] = co_await net::asio::async_write(
        sink.socket(), net::asio::buffer(bytes.data(), read), net::kAwaitWithError);
    if (to_endpoint) {
      tunnel->is_writing_to_endpoint = false;
    }
    failed = write_error;
  }
  if (std::exchange(tunnel->is_ended, true)) {
    co_return;
  }
  // A reset by the endpoint is told to a write in progress, and then looks like an end here.
  const bool may_be_reset = !to_endpoint && tunnel->is_writing_to_endpoint;
  if (is_end && !may_be_reset) {
    // Everything read was written, so the other side sees the bytes and then the end.
    tunnel->node.close();
    tunnel->endpoint.close();
    co_return;
  }
  tunnel->count("broken");
  Reset(tunnel->node.socket());
  Reset(tunnel->endpoint.socket());
}

}  // namespace lentilhead::relay
