#include "peers/peer_exchange.h"

#include <algorithm>

#include "gateway/limit_changes.h"
#include "net/backoff.h"
#include "net/log_line.h"

namespace lentilhead::peers {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// While Period() is one tick, a change reaches peers within about two ticks.
constexpr milliseconds kTickPeriod{20};
// Mean delay of a message: half a tick, transit, and its wait in the receiver's event loop.
constexpr milliseconds kMeanMessageDelay{12};
constexpr milliseconds kIdlePeriod{300};  // longest time between two messages of a node
constexpr milliseconds kExpiryCheckPeriod{100};
constexpr milliseconds kProbePeriod{1000};   // for addresses without a live peer
constexpr milliseconds kPeerLifetime{1500};  // five idle periods, because some datagrams are lost
// Peers that are messaged in a tick because they must yield: at 50 ticks a second, at most 400
// additional datagrams a second.
constexpr std::size_t kMaxYieldingPeers = 8;
constexpr double kPeriodPerPeerMs = 2.5;  // limits a node to about 400 datagrams a second
// In a fleet of several groups, whose nodes are small: about 150 datagrams a second.
constexpr double kGroupPeriodPerPeerMs = 6.5;
// Evidence is repeated because some datagrams are lost and nodes start.
constexpr milliseconds kEvidencePeriod{1000};
// Changes of limits are repeated, too.
constexpr milliseconds kLimitsPeriod{1000};
// A slot is held for most of a second. At 16 nodes and 8 customers this is below 4 KB/s.
constexpr milliseconds kCustomerUsesPeriod{250};
// Nodes of other groups that evidence is sent to at a time; they pass on what is new to them.
constexpr std::size_t kOtherGroupNodes = 4;
// Above any number of limits; the first of those passed on is drawn at random.
constexpr std::size_t kMaxFirstLimit = 1U << 20U;
constexpr std::size_t kMaxDatagramBytes = 16 << 10;  // holds 740 endpoints

relay::PeerNews NewsOf(const PeerMessage& message) {
  if (message.is_leaving) {
    return relay::PeerNews::kLeaving;
  }
  return message.is_cut_off ? relay::PeerNews::kCutOff : relay::PeerNews::kServing;
}

}  // namespace

PeerExchange::PeerExchange(gateway::Gateway& gateway, ClusterView& view,
                           const net::asio::ip::udp::endpoint& local, std::string name,
                           std::string incarnation)
    : gateway(gateway),
      view(view),
      socket(gateway.executor),
      port(local.port()),
      own_address(local.address()),
      name(std::move(name)),
      incarnation(std::move(incarnation)),
      send_timer(gateway.executor) {
  this->gateway.registry.SetName(this->name);
}

net::ErrorCode PeerExchange::Listen() {
  const net::asio::ip::udp::endpoint local(this->own_address, this->port);
  net::ErrorCode error;
  this->socket.open(local.protocol(), error);
  if (!error) {
    this->socket.bind(local, error);
  }
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  return error;
}

void PeerExchange::AddCandidate(const Address& address) {
  if (address != this->own_address && this->candidates.insert(address).second) {
    this->has_new_candidate = true;
    this->NoteChange();
  }
}

milliseconds PeerExchange::Period() const {
  const double per_peer = this->group_is_fleet ? kPeriodPerPeerMs : kGroupPeriodPerPeerMs;
  const auto scaled = static_cast<std::int64_t>(per_peer * static_cast<double>(this->peers.size()));
  return std::max(kTickPeriod, milliseconds(scaled));
}

net::SteadyTime PeerExchange::NextSend(net::SteadyTime now) const {
  const net::SteadyTime after_tick = now + kTickPeriod;
  if (!this->yielding_peers.empty()) {
    return after_tick;
  }
  if (this->changed) {
    return std::max(after_tick, this->last_sent + this->Period());
  }
  return std::min(now + kExpiryCheckPeriod, this->last_sent + kIdlePeriod);
}

void PeerExchange::WakeSender() {
  if (this->send_timer.expiry() > this->NextSend(net::Now())) {
    this->send_timer.cancel();
  }
}

void PeerExchange::NoteChange() {
  this->changed = true;
  this->WakeSender();
}

void PeerExchange::NoteLoadChange(const gateway::EndpointState& endpoint) {
  this->changed = true;
  for (std::string& peer : this->gateway.registry.PeersThatMustYield(endpoint, net::Now())) {
    this->yielding_peers.insert(std::move(peer));
  }
  this->WakeSender();
}

std::string PeerExchange::NextMessage(std::vector<gateway::PartEvidence> evidence,
                                      gateway::LimitReport limits,
                                      std::optional<std::vector<admission::CustomerUse>> uses) {
  const net::SteadyTime now = net::Now();
  std::vector<std::uint32_t> unreachable = this->gateway.registry.Unreachable(now);
  // Peers would stop using endpoints that only this node does not reach.
  const bool is_isolated = this->gateway.paths.IsIsolated();
  std::erase_if(unreachable, [&](std::uint32_t key) {
    return is_isolated || this->gateway.paths.ExcusesFailure(key);
  });
  return Encode({this->name, this->incarnation, ++this->sequence, this->gateway.routes.Version(),
                 this->view.EndpointsVersion(), this->gateway.stopping,
                 this->store_served && this->store_served(), std::move(unreachable),
                 this->gateway.registry.OwnLoads(now),
                 this->gateway.registry.Outliers().OwnReport(this->gateway.registry.All(), now),
                 this->gateway.registry.SaidLeaving(now), std::move(evidence), std::move(limits),
                 std::move(uses), this->gateway.paths.IsCutOffFromAll()});
}

gateway::LimitReport PeerExchange::DueLimits(bool to_new_peer, net::SteadyTime now) {
  using Scope = gateway::EndpointLimits::Scope;
  const bool is_repeat_due = now - this->recent_limits_sent >= kLimitsPeriod;
  if (is_repeat_due) {
    this->recent_limits_sent = now;
  }
  gateway::EndpointLimits& limits = this->gateway.registry.Limits();
  const Scope scope = to_new_peer ? Scope::kAll : is_repeat_due ? Scope::kRecent : Scope::kChanges;
  gateway::LimitReport report = limits.Report(scope, now);
  limits.NoteReportSent(now);
  return report;
}

std::vector<gateway::PartEvidence> PeerExchange::DueEvidence(bool to_new_peer,
                                                             net::SteadyTime now) {
  const std::uint64_t version = this->gateway.quarantine.Version();
  const bool is_due = version != this->evidence_version || to_new_peer ||
                      now - this->evidence_sent >= kEvidencePeriod;
  if (!is_due) {
    return {};
  }
  this->evidence_version = version;
  this->evidence_sent = now;
  return this->gateway.quarantine.Evidence(now, to_new_peer);
}

std::optional<std::vector<admission::CustomerUse>> PeerExchange::DueCustomerUses(
    net::SteadyTime now) {
  const auto& config = this->gateway.routes.Config();
  if (config == nullptr || config->customers.IsEmpty() ||
      now - this->customer_uses_sent < kCustomerUsesPeriod) {
    return std::nullopt;
  }
  this->customer_uses_sent = now;
  return this->gateway.admission.Shares().Report();
}

std::vector<gateway::OutsideLimit> PeerExchange::DueOutsideLimits(net::SteadyTime now) {
  if (this->group_is_fleet || now - this->outside_limits_sent < kLimitsPeriod) {
    return {};
  }
  this->outside_limits_sent = now;
  gateway::EndpointRegistry& registry = this->gateway.registry;
  return registry.LimitsOfOthers().Facts(registry.Limits().Limited(),
                                         net::RandomBelow(kMaxFirstLimit), now);
}

void PeerExchange::SendToOtherGroups(const OtherGroupMessage& message) {
  std::vector<Address> others;
  for (const Address& address : this->candidates) {
    if (!this->group.contains(address)) {
      others.push_back(address);
    }
  }
  const std::string bytes = Encode(message);
  for (std::size_t sent = 0; sent < kOtherGroupNodes && !others.empty(); ++sent) {
    const std::size_t pick = net::RandomBelow(others.size());
    this->SendTo(others[pick], bytes);
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void PeerExchange::SendTo(const Address& address, const std::string& bytes) {
  net::ErrorCode lost;  // a send error is treated like a lost datagram
  this->socket.send_to(net::asio::buffer(bytes), {address, this->port}, 0, lost);
}

void PeerExchange::SendToAll() {
  const net::SteadyTime now = net::Now();
  const bool probe = this->has_new_candidate || now - this->last_probe >= kProbePeriod;
  if (probe) {
    this->last_probe = now;
    this->has_new_candidate = false;
  }
  const bool to_new_peer = std::exchange(this->has_new_peer, false);
  std::vector<gateway::PartEvidence> evidence = this->DueEvidence(to_new_peer, now);
  const std::string bytes =
      this->NextMessage(evidence, this->DueLimits(to_new_peer, now), this->DueCustomerUses(now));
  OtherGroupMessage outside{this->incarnation, std::move(evidence), this->DueOutsideLimits(now)};
  if (!this->group_is_fleet && !(outside.parts.empty() && outside.limits.empty())) {
    this->SendToOtherGroups(outside);
  }
  for (const Address& address : this->candidates) {
    const bool in_group = this->group.empty() || this->group.contains(address);
    if (in_group && (probe || this->peers.contains(address))) {
      this->SendTo(address, bytes);
    }
  }
  this->last_sent = now;
  this->changed = false;
  this->yielding_peers.clear();
  this->gateway.registry.SetPeerLoadAge(kMeanMessageDelay + this->Period() / 2);
}

void PeerExchange::SendToYieldingPeers() {
  const std::string bytes = this->NextMessage();
  std::size_t sent = 0;
  for (const auto& [address, peer] : this->peers) {
    if (sent < kMaxYieldingPeers && this->yielding_peers.contains(peer.last.name)) {
      this->SendTo(address, bytes);
      ++sent;
    }
  }
  this->yielding_peers.clear();
}

awaitable<void> PeerExchange::Send() {
  while (true) {
    const net::SteadyTime now = net::Now();
    const auto since = now - this->last_sent;
    if (since >= kIdlePeriod || (this->changed && since >= this->Period())) {
      this->SendToAll();
    } else if (!this->yielding_peers.empty()) {
      this->SendToYieldingPeers();
    }
    this->Expire();
    this->send_timer.expires_at(this->NextSend(net::Now()));
    co_await this->send_timer.async_wait(net::kAwaitWithError);
  }
}

awaitable<void> PeerExchange::Receive() {
  std::string bytes(kMaxDatagramBytes, '\0');
  while (true) {
    net::asio::ip::udp::endpoint sender;
    const auto [error, size] = co_await this->socket.async_receive_from(
        net::asio::buffer(bytes), sender, net::kAwaitWithError);
    if (error == net::asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      this->Handle(bytes.substr(0, size), sender.address());
    }
  }
}

void PeerExchange::Handle(const std::string& bytes, const Address& sender) {
  OtherGroupMessage evidence;
  if (Decode(bytes, evidence)) {
    this->AddCandidate(sender);
    this->gateway.quarantine.Merge(evidence.parts, net::Now());
    this->gateway.registry.LimitsOfOthers().Merge(evidence.limits, net::Now());
    return;
  }
  PeerMessage message;
  if (!Decode(bytes, message)) {
    net::LogLine("peer_message_unreadable").With("peer", sender.to_string());
    return;
  }
  this->AddCandidate(sender);
  const auto peer = this->peers.find(sender);
  const bool is_outdated = peer != this->peers.end() &&
                           peer->second.last.incarnation == message.incarnation &&
                           message.sequence <= peer->second.last.sequence;
  if (is_outdated) {
    return;  // a newer message arrived first
  }
  this->NotePeer(message, sender);
  this->gateway.paths.RecordNews(sender, NewsOf(message));
  this->gateway.registry.SetPeerLoad(message.name, message.loads, net::Now());
  this->gateway.registry.RecordPeerSuspects(message.unreachable_endpoints, net::Now());
  this->gateway.registry.Outliers().SetPeerReport(message.name, message.failures);
  this->RecordLeaving(message);
  this->RecordLimits(message);
  this->RecordCustomerUses(message);
  this->gateway.quarantine.Merge(message.parts, net::Now());
  this->gateway.evidence_loaded = this->gateway.evidence_loaded || !message.parts.empty();
  message.parts.clear();
  message.limits = {};
  this->peers[sender] = {std::move(message), net::Now()};
  this->gateway.admission.Dispatch();
}

void PeerExchange::NotePeer(const PeerMessage& message, const Address& sender) {
  const auto known = this->peers.find(sender);
  if (known == this->peers.end()) {
    net::LogLine("peer_found").With("peer", message.name).With("start", message.incarnation);
  }
  if (known == this->peers.end() || known->second.last.incarnation != message.incarnation) {
    this->has_new_peer = true;
    this->NoteChange();
  }
}

void PeerExchange::RecordLeaving(const PeerMessage& message) {
  for (const std::string& id :
       this->gateway.registry.RecordPeerLeaving(message.leaving_endpoints)) {
    net::LogLine("endpoint_leaving")
        .With("endpoint", id)
        .With("source", "peer")
        .With("peer", message.name);
    this->gateway.metrics.GetCounter("gateway_endpoints_leaving_total", {{"source", "peer"}}).Add();
  }
}

void PeerExchange::RecordLimits(const PeerMessage& message) {
  const std::vector<gateway::EndpointLimits::Change> changes =
      this->gateway.registry.Limits().Merge(message.name, message.incarnation, message.is_leaving,
                                            message.limits, net::Now());
  for (const auto& [incarnation, change] : changes) {
    gateway::ReportLimitChange(this->gateway, incarnation, change, "peer");
  }
}

void PeerExchange::RecordCustomerUses(const PeerMessage& message) {
  if (message.customer_uses) {
    this->gateway.admission.Shares().SetPeerUse(message.name, *message.customer_uses, net::Now());
  }
}

void PeerExchange::Expire() {
  const net::SteadyTime now = net::Now();
  std::erase_if(this->peers, [&](const auto& item) {
    const Peer& peer = item.second;
    if (now - peer.last_received < kPeerLifetime) {
      return false;
    }
    net::LogLine("peer_lost").With("peer", peer.last.name).With("start", peer.last.incarnation);
    this->gateway.registry.RemovePeer(peer.last.name);
    this->gateway.registry.Outliers().RemovePeer(peer.last.name);
    this->gateway.admission.Shares().RemovePeer(peer.last.name);
    return true;
  });
  this->gateway.admission.Shares().SetNodeCount(this->peers.size() + 1);
}

void PeerExchange::RefreshAfterStall() {
  for (auto& [address, peer] : this->peers) {
    peer.last_received = net::Now();
  }
}

bool PeerExchange::IsAlive(const std::string& incarnation) const {
  return incarnation == this->incarnation ||
         std::any_of(this->peers.begin(), this->peers.end(),
                     [&](const auto& item) { return item.second.last.incarnation == incarnation; });
}

std::string PeerExchange::NodeOfIncarnation(const std::string& incarnation) {
  return incarnation.substr(0, incarnation.rfind('#'));
}

bool PeerExchange::HasOtherIncarnation(const std::string& incarnation) const {
  const std::string node = NodeOfIncarnation(incarnation);
  return std::any_of(this->peers.begin(), this->peers.end(), [&](const auto& item) {
    return item.second.last.name == node && item.second.last.incarnation != incarnation;
  });
}

std::vector<std::string> PeerExchange::Alive() const {
  std::vector<std::string> names;
  for (const auto& [address, peer] : this->peers) {
    if (!peer.last.is_leaving) {
      names.push_back(peer.last.incarnation);
    }
  }
  if (!this->gateway.stopping) {
    names.push_back(this->incarnation);
  }
  return names;
}

PeerExchange::Address PeerExchange::PeerWithNewerView(bool include_endpoints) const {
  const auto ahead = std::find_if(this->peers.begin(), this->peers.end(), [&](const auto& item) {
    const PeerMessage& last = item.second.last;
    return last.config_version > this->gateway.routes.Version() ||
           (include_endpoints && last.endpoints_version > this->view.EndpointsVersion());
  });
  return ahead == this->peers.end() ? Address() : ahead->first;
}

PeerExchange::Address PeerExchange::PeerServedByStore() const {
  const auto served = std::find_if(this->peers.begin(), this->peers.end(), [](const auto& item) {
    return item.second.last.store_served && !item.second.last.is_leaving;
  });
  return served == this->peers.end() ? Address() : served->first;
}

PeerExchange::Address PeerExchange::RandomCandidate() const {
  if (this->candidates.empty()) {
    return {};
  }
  auto pick = this->candidates.begin();
  std::advance(pick, static_cast<std::ptrdiff_t>(net::RandomBelow(this->candidates.size())));
  return *pick;
}

}  // namespace lentilhead::peers
