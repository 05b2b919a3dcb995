#include "peers/view_relay.h"

#include "net/http_caller.h"

namespace lentilhead::peers {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kPeriod{200};  // bounds the delay of a change that only peers have received
constexpr milliseconds kTimeout{600};
constexpr std::uint64_t kMaxViewBytes = 8ULL << 20U;  // several times that of the largest fleet

}  // namespace

awaitable<void> ViewRelay::Run(std::function<bool()> store_silent) {
  net::asio::steady_timer timer(this->gateway.executor);
  while (true) {
    timer.expires_after(kPeriod);
    co_await timer.async_wait(net::kAwaitWithError);
    const bool silent = store_silent();
    net::asio::ip::address peer = this->peers.PeerWithNewerView(silent);
    if (peer.is_unspecified() && !this->gateway.HasClusterState() && !this->gateway.stopping) {
      peer = this->peers.RandomCandidate();
    }
    if (!peer.is_unspecified()) {
      co_await this->Fetch(peer, silent || !this->gateway.endpoints_loaded);
    }
  }
}

awaitable<void> ViewRelay::Fetch(net::asio::ip::address peer, bool include_endpoints) {
  net::HttpCaller caller(this->gateway.executor, {peer, this->port});
  net::Request request(net::http::verb::get, kPath, 11);
  net::HttpCaller::Outcome outcome =
      co_await caller.Call(std::move(request), kTimeout, kMaxViewBytes);
  const auto* response = std::get_if<net::Response>(&outcome);
  if (response == nullptr || response->result() != net::http::status::ok) {
    co_return;  // a peer that is lost expires in the exchange
  }
  this->view.AdoptEncoded(response->body(), include_endpoints);
}

}  // namespace lentilhead::peers
