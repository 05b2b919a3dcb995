#include "relay/tunnel_client.h"

#include <algorithm>
#include <string>

#include "net/socket_options.h"
#include "relay/types/wire.h"

namespace lentilhead::relay {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// A round trip between zones takes 1.5 ms; the rest is for a busy node.
constexpr milliseconds kConnectLimit{60};
constexpr milliseconds kTcpSilenceTimeout{2000};

TunnelOutcome OutcomeOf(const net::http::response_header<>& head) {
  if (head.result_int() / 100 == 2) {
    return TunnelOutcome::kGranted;
  }
  const std::string_view reason = head[kReasonHeader];
  for (const TunnelOutcome outcome :
       {TunnelOutcome::kUnreachable, TunnelOutcome::kCutOff, TunnelOutcome::kFull,
        TunnelOutcome::kLeaving, TunnelOutcome::kNotListed}) {
    if (reason == NameOf(outcome)) {
      return outcome;
    }
  }
  return TunnelOutcome::kNoAnswer;  // such as the answer of an older version, which relays nothing
}

}  // namespace

awaitable<TunnelOutcome> TunnelClient::Open(net::beast::tcp_stream& stream,
                                            net::beast::flat_buffer& buffer,
                                            net::asio::ip::address peer, net::tcp::endpoint target,
                                            net::SteadyTime until) const {
  net::BindSource(stream.socket(), this->own);
  stream.expires_at(std::min(until, net::Now() + kConnectLimit));
  const auto [connect_error] =
      co_await stream.async_connect(net::tcp::endpoint(peer, this->port), net::kAwaitWithError);
  if (connect_error) {
    co_return TunnelOutcome::kNoAnswer;
  }
  net::SetSocketOptions(stream.socket(), kTcpSilenceTimeout);
  const std::string address = target.address().is_v6() ? "[" + target.address().to_string() + "]"
                                                       : target.address().to_string();
  net::http::request<net::http::empty_body> request(
      net::http::verb::connect, address + ":" + std::to_string(target.port()), 11);
  request.set(net::http::field::host, request.target());
  stream.expires_at(until);
  const auto [write_error, written] =
      co_await net::http::async_write(stream, request, net::kAwaitWithError);
  if (write_error) {
    co_return TunnelOutcome::kNoAnswer;
  }
  net::http::response_parser<net::http::empty_body> parser;
  parser.skip(true);
  const auto [read_error, read] =
      co_await net::http::async_read_header(stream, buffer, parser, net::kAwaitWithError);
  if (read_error) {
    co_return TunnelOutcome::kNoAnswer;
  }
  co_return OutcomeOf(parser.get().base());
}

awaitable<bool> TunnelClient::IsAlive(net::asio::any_io_executor executor,
                                      net::asio::ip::address peer, net::SteadyTime until) const {
  net::beast::tcp_stream stream(std::move(executor));
  net::BindSource(stream.socket(), this->own);
  stream.expires_at(std::min(until, net::Now() + kConnectLimit));
  const auto [error] =
      co_await stream.async_connect(net::tcp::endpoint(peer, this->port), net::kAwaitWithError);
  co_return !error;
}

}  // namespace lentilhead::relay
