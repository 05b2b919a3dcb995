#include "gateway/endpoint_paths.h"

#include <algorithm>

#include "net/backoff.h"
#include "net/log_line.h"
#include "net/socket_options.h"
#include "net/spawn.h"

namespace lentilhead::gateway {

namespace {

using net::asio::awaitable;
using relay::TunnelOutcome;
using std::chrono::milliseconds;

constexpr milliseconds kConnectLimit{
    150};  // far above a round trip; then a peer is asked, or another endpoint is tried
constexpr milliseconds kTcpSilenceTimeout{2000};  // as long as callers wait for the next event
// For a peer that tries to connect for 60 ms, and its answer.
constexpr milliseconds kTunnelLimit{120};
constexpr std::size_t kMaxPeersAsked = 3;
// Peers that must fail to connect before the endpoint counts as down for all: the first one may be
// cut off, too, and not know it yet.
constexpr std::size_t kPeersThatTell = 2;
// Bound on the connections of probes, which endpoints, peers and this node share with requests. A
// probe ends within 150 ms, through a peer within 240 ms, and the limit for drops.
constexpr std::size_t kMaxOpenProbes = 48;
constexpr milliseconds kWatchPeriod{50};
constexpr milliseconds kBeatPeriod{20};
constexpr milliseconds kTargetsPeriod{500};
// Silence after which the paths to an endpoint are probed; most answers begin before it.
constexpr milliseconds kProbeSilence{250};
// Silence after which an attempt is ended once this node knows to be cut off from the endpoint.
constexpr milliseconds kEndSilence{150};

/// Counts a probe while it is open.
class OpenProbe {
 public:
  explicit OpenProbe(std::size_t& open) : open(open) { ++this->open; }
  OpenProbe(const OpenProbe&) = delete;
  OpenProbe& operator=(const OpenProbe&) = delete;
  ~OpenProbe() { --this->open; }

 private:
  std::size_t& open;
};

}  // namespace

awaitable<bool> EndpointPaths::IsDropped(net::beast::tcp_stream& stream, milliseconds limit) {
  char byte = 0;
  const net::SteadyTime opened = net::Now();
  stream.expires_after(limit);
  const auto [error, read] =
      co_await stream.async_read_some(net::asio::buffer(&byte, 1), net::kAwaitWithError);
  stream.close();
  const bool is_dropped = error && error != net::beast::error::timeout;
  if (is_dropped) {
    this->drop_limit.RecordDrop(net::ToMilliseconds(net::Now() - opened), net::Now());
  }
  co_return is_dropped;
}

void EndpointPaths::RecordLost(std::uint32_t key, milliseconds after) {
  this->drop_limit.RecordDrop(after, net::Now());
  this->evidence.RecordLoss(key, net::Now());
}

void EndpointPaths::UsePeers(const Address& own_address, std::uint16_t port) {
  this->own = own_address;
  this->client.emplace(own_address, port);
  this->peers.emplace(own_address);
}

void EndpointPaths::SetNodes(const std::vector<relay::RelayNode>& nodes) {
  if (this->peers) {
    this->peers->SetNodes(nodes);
  }
}

void EndpointPaths::RecordNews(const Address& peer, relay::PeerNews news) {
  if (this->peers) {
    this->peers->RecordNews(peer, news, net::Now());
  }
}

bool EndpointPaths::UsesPeer(const EndpointState& endpoint) const {
  return this->peers && this->evidence.PathTo(endpoint.key, net::Now()) == relay::Path::kPeer;
}

void EndpointPaths::RecordBroken(const Address& peer) {
  this->Count("broken");
  if (this->peers) {
    this->peers->RecordBroken(peer, net::Now());
  }
}

awaitable<bool> EndpointPaths::IsAlive(const Address& peer, net::SteadyTime until) const {
  co_return this->client&& co_await this->client->IsAlive(this->executor, peer, until);
}

bool EndpointPaths::WasHeardAfter(std::uint32_t key, const AnswerEndTime& end,
                                  milliseconds margin) const {
  return std::any_of(this->attempts.begin(), this->attempts.end(), [&](const OpenAttempt* attempt) {
    return attempt->key == key && end.IsBefore(attempt->arrived_after, margin);
  });
}

awaitable<void> EndpointPaths::Beat() {
  net::asio::steady_timer timer(this->executor);
  while (true) {
    this->beats.Record(net::Now());
    timer.expires_after(kBeatPeriod);
    co_await timer.async_wait(net::kAwaitWithError);
  }
}

void EndpointPaths::Count(std::string_view outcome) {
  this->metrics.GetCounter("gateway_relay_connections_total", {{"outcome", std::string(outcome)}})
      .Add();
}

awaitable<ConnectOutcome> EndpointPaths::Open(Connection connection, net::SteadyTime until,
                                              CancelScope& cancel) {
  const std::shared_ptr<EndpointState> endpoint = connection->endpoint;
  net::beast::tcp_stream& stream = connection->stream;
  if (!this->UsesPeer(*endpoint)) {
    const net::SteadyTime started = net::Now();
    net::BindSource(stream.socket(), this->own);
    stream.expires_at(std::min(until, started + kConnectLimit));
    const auto [error] =
        co_await stream.async_connect(endpoint->entry.address, net::kAwaitWithError);
    if (cancel.IsCancelled()) {
      co_return ConnectOutcome::kFailed;
    }
    if (!error) {
      // No evidence yet: it may be dropped. Where there is doubt, probes find out.
      net::SetSocketOptions(stream.socket(), kTcpSilenceTimeout);
      co_return ConnectOutcome::kConnected;
    }
    if (net::Now() >= until) {
      co_return ConnectOutcome::kFailed;  // the caller's time was over, not that of the connection
    }
    this->evidence.RecordDirect(endpoint->key, false, started, net::Now());
  }
  if (!this->peers) {
    co_return ConnectOutcome::kFailed;
  }
  const std::optional<bool> reached = co_await this->OpenThroughPeer(connection, until, &cancel);
  if (reached && *reached) {
    this->evidence.RecordThroughPeer(endpoint->key, true, net::Now());
    this->ReportChanges();
    co_return ConnectOutcome::kConnected;
  }
  const bool has_no_path = !reached && (this->UsesPeer(*endpoint) || this->IsIsolated());
  co_return has_no_path && !cancel.IsCancelled() ? ConnectOutcome::kNoPath
                                                 : ConnectOutcome::kFailed;
}

awaitable<std::optional<bool>> EndpointPaths::OpenThroughPeer(Connection connection,
                                                              net::SteadyTime until,
                                                              CancelScope* cancel,
                                                              std::vector<Address> tried) {
  const std::uint32_t key = connection->endpoint->key;
  const net::tcp::endpoint address = connection->endpoint->entry.address;
  const std::size_t most_tried = tried.size() + kMaxPeersAsked;
  std::size_t asked = 0;
  std::size_t unreachable = 0;
  while (tried.size() < most_tried && unreachable < kPeersThatTell && net::Now() < until) {
    const std::optional<Address> peer =
        this->peers->Choose(tried, net::RandomFraction(), net::Now());
    if (!peer) {
      break;
    }
    this->Count("asked");
    connection->stream.close();
    connection->buffer.clear();
    const TunnelOutcome outcome =
        co_await this->client->Open(connection->stream, connection->buffer, *peer, address,
                                    std::min(until, net::Now() + kTunnelLimit));
    if (cancel != nullptr && cancel->IsCancelled()) {
      co_return std::nullopt;
    }
    this->peers->RecordOutcome(*peer, outcome, net::Now());
    this->Count(NameOf(outcome));
    if (outcome == TunnelOutcome::kGranted) {
      connection->through = *peer;
      co_return true;
    }
    unreachable += outcome == TunnelOutcome::kUnreachable ? 1 : 0;
    tried.push_back(*peer);
    ++asked;
  }
  connection->stream.close();
  const bool is_told = unreachable > 0 && unreachable == std::min(kPeersThatTell, asked);
  if (!is_told) {
    co_return std::nullopt;
  }
  this->evidence.RecordThroughPeer(key, false, net::Now());
  co_return false;
}

awaitable<bool> EndpointPaths::IsReachedByPeer(EndpointEntry entry, std::uint32_t key,
                                               net::SteadyTime started) {
  this->evidence.RecordDirect(key, false, started, net::Now());
  if (!this->peers) {
    co_return false;
  }
  auto endpoint = std::make_shared<EndpointState>();
  endpoint->entry = std::move(entry);
  endpoint->key = key;
  // The caller of a request waits for this, so a drop that comes late is left to the probes.
  co_return co_await this->IsAcceptedThroughPeer(std::move(endpoint), relay::DropLimit::kMin);
}

EndpointPaths::Look EndpointPaths::LookForDrop(milliseconds limit) {
  return [this, limit](Connection connection) -> awaitable<bool> {
    co_return !co_await this->IsDropped(connection->stream, limit);
  };
}

awaitable<bool> EndpointPaths::IsAcceptedThroughPeer(std::shared_ptr<EndpointState> endpoint,
                                                     milliseconds drop_limit) {
  const Look look = this->LookForDrop(drop_limit);
  co_return co_await this->LookThroughPeers(std::move(endpoint), look);
}

awaitable<bool> EndpointPaths::LookThroughPeers(std::shared_ptr<EndpointState> endpoint,
                                                Look look) {
  std::vector<Address> tried;
  for (std::size_t peers_asked = 0; peers_asked < kMaxPeersAsked; ++peers_asked) {
    const std::optional<bool> accepted = co_await this->TryThroughPeer(endpoint, look, tried);
    if (!accepted || *accepted) {
      co_return accepted.value_or(false);
    }
  }
  co_return false;
}

awaitable<std::optional<bool>> EndpointPaths::TryThroughPeer(
    std::shared_ptr<EndpointState> endpoint, const Look& look, std::vector<Address>& tried) {
  if (!this->peers) {
    co_return std::nullopt;
  }
  auto connection = std::make_shared<internal::EndpointConnection>(this->executor, endpoint);
  const std::optional<bool> reached =
      co_await this->OpenThroughPeer(connection, net::Now() + 2 * kTunnelLimit, nullptr, tried);
  if (!reached.value_or(false)) {
    co_return std::nullopt;
  }
  const bool is_accepted = co_await look(connection);
  this->evidence.RecordThroughPeer(endpoint->key, is_accepted, net::Now());
  this->ReportChanges();
  tried.push_back(*connection->through);
  co_return is_accepted;
}

awaitable<void> EndpointPaths::ProbeDirect(std::shared_ptr<EndpointState> endpoint) {
  const OpenProbe open(this->open_probes);
  net::beast::tcp_stream stream(this->executor);
  const net::SteadyTime started = net::Now();
  net::BindSource(stream.socket(), this->own);
  stream.expires_at(started + kConnectLimit);
  const auto [error] = co_await stream.async_connect(endpoint->entry.address, net::kAwaitWithError);
  const bool is_lost =
      error || co_await this->IsDropped(stream, this->drop_limit.Current(net::Now()));
  this->evidence.RecordDirect(endpoint->key, !is_lost, started, net::Now());
  this->ReportChanges();
}

awaitable<void> EndpointPaths::ProbeThroughPeer(std::shared_ptr<EndpointState> endpoint) {
  const OpenProbe open(this->open_probes);
  const Look look = this->LookForDrop(this->drop_limit.Current(net::Now()));
  std::vector<Address> tried;
  co_await this->TryThroughPeer(endpoint, look, tried);
}

std::shared_ptr<EndpointState> EndpointPaths::Find(std::uint32_t key) const {
  for (const auto& [id, state] : this->registry.All()) {
    if (state->key == key) {
      return state;
    }
  }
  return nullptr;
}

std::shared_ptr<EndpointState> EndpointPaths::FindAddress(const net::tcp::endpoint& address) const {
  for (const auto& [id, state] : this->registry.All()) {
    if (state->entry.address == address) {
      return state;
    }
  }
  return nullptr;
}

relay::TunnelPermit EndpointPaths::PermitTunnel(const Address& caller,
                                                const net::tcp::endpoint& target) const {
  if (!this->peers || !this->peers->IsListed(caller)) {
    return relay::TunnelPermit::kUnknownCaller;
  }
  const std::shared_ptr<EndpointState> endpoint = this->FindAddress(target);
  if (!endpoint) {
    return relay::TunnelPermit::kUnknownEndpoint;
  }
  return this->UsesPeer(*endpoint) || this->IsIsolated() ? relay::TunnelPermit::kCutOff
                                                         : relay::TunnelPermit::kGranted;
}

void EndpointPaths::RecordTunnel(const net::tcp::endpoint& target, bool reached) {
  // The limit on connections for peers is shorter, so a failure is no evidence; an open connection
  // is none either, as it may be dropped.
  const std::shared_ptr<EndpointState> endpoint = this->FindAddress(target);
  if (endpoint && !reached) {
    this->evidence.RecordSilence(endpoint->key, net::Now());
  }
}

void EndpointPaths::UpdateTargets() {
  std::vector<relay::Target> targets;
  for (const auto& [id, state] : this->registry.All()) {
    if (state->listed && !state->is_leaving && !state->entry.is_draining) {
      targets.push_back({state->key, state->entry.zone});
    }
  }
  this->evidence.SetTargets(targets);
}

void EndpointPaths::CheckAttempts() {
  const net::SteadyTime now = net::Now();
  std::map<std::uint32_t, net::SteadyTime> heard;  // by endpoint, of direct connections
  std::vector<std::function<void()>> ends;
  for (const OpenAttempt* attempt : this->attempts) {
    if (attempt->is_relayed) {
      continue;
    }
    net::SteadyTime& newest = heard[attempt->key];
    newest = std::max(newest, attempt->heard_at);
    const bool is_silent = now - attempt->heard_at >= kEndSilence;
    const bool is_cut = this->evidence.PathTo(attempt->key, now) == relay::Path::kPeer;
    if (is_silent && is_cut && attempt->may_repeat && attempt->end) {
      ends.push_back(attempt->end);
    }
  }
  for (const auto& [key, time] : heard) {
    if (now - time >= kProbeSilence) {
      this->evidence.RecordSilence(key, now);
    }
  }
  for (const std::function<void()>& end : ends) {
    this->Count("direct_ended");
    end();
  }
}

void EndpointPaths::ClearSuspicions() {
  for (const auto& [id, state] : this->registry.All()) {
    if (net::Now() < state->suspect_until && state->unreachable && this->UsesPeer(*state)) {
      EndpointFeedback::EndSuspicion(*state);
    }
  }
}

void EndpointPaths::ReportChanges() {
  for (const relay::BeliefChange& change : this->evidence.TakeChanges()) {
    const std::shared_ptr<EndpointState> endpoint =
        change.scope == relay::BeliefChange::Scope::kEndpoint ? this->Find(change.key) : nullptr;
    net::LogLine(change.is_cut ? "path_cut" : "path_restored")
        .With("scope", NameOf(change.scope))
        .With("endpoint", endpoint ? endpoint->entry.id : "")
        .With("zone", change.zone)
        .With("since_ms", change.span.count())
        .With("contradictions", change.contradictions)
        .With("endpoints", change.endpoints)
        .With("cut_off", this->evidence.CutOffCount());
    this->metrics
        .GetCounter("gateway_path_changes_total", {{"scope", NameOf(change.scope)},
                                                   {"change", change.is_cut ? "cut" : "restored"}})
        .Add();
  }
}

void EndpointPaths::BeginProbes() {
  if (!this->peers) {
    return;
  }
  const std::size_t most = kMaxOpenProbes - std::min(kMaxOpenProbes, this->open_probes);
  for (const relay::DueProbe& probe :
       this->evidence.TakeDueProbes(net::RandomFraction(), most, net::Now())) {
    const std::shared_ptr<EndpointState> endpoint = this->Find(probe.key);
    if (!endpoint) {
      continue;
    }
    net::Spawn(this->executor, "probe_endpoint", this->ProbeDirect(endpoint));
    if (probe.through_peer) {
      net::Spawn(this->executor, "probe_through_peer", this->ProbeThroughPeer(endpoint));
    }
  }
}

awaitable<void> EndpointPaths::Run() {
  net::Spawn(this->executor, "beat", this->Beat());
  net::asio::steady_timer timer(this->executor);
  net::SteadyTime targets_at;
  bool was_isolated = false;
  while (true) {
    const net::SteadyTime now = net::Now();
    if (now - targets_at >= kTargetsPeriod) {
      targets_at = now;
      this->UpdateTargets();
    }
    this->CheckAttempts();
    this->BeginProbes();
    this->ClearSuspicions();
    this->ReportChanges();
    if (const bool isolated = this->IsIsolated(); isolated != was_isolated) {
      was_isolated = isolated;
      net::LogLine(isolated ? "isolated" : "isolation_ended")
          .With("endpoints", this->registry.All().size());
    }
    timer.expires_after(kWatchPeriod);
    co_await timer.async_wait(net::kAwaitWithError);
  }
}

}  // namespace lentilhead::gateway
