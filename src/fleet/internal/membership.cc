#include "fleet/internal/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/hash.h"

namespace lentilhead::fleet::internal {

namespace {

using framework::MonotonicTime;

constexpr int kPauseThresholdPeriods = 4;
constexpr int kTransmissionFactor = 3;
constexpr std::size_t kSeedsWithoutPeers = 3;

bool Supersedes(const FleetInstance& update, const FleetInstance& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return static_cast<int>(update.state) > static_cast<int>(known.state);
}

/// True unless the member has been declared dead.
bool IsActive(const Member& member) { return member.info.state != InstanceState::kDead; }

}  // namespace

Membership::Membership(FleetInstance self, MembershipParameters parameters, std::uint64_t seed)
    : self(std::move(self)), parameters(parameters), random(seed) {
  this->update_queue.Push(this->self.name);
}

MembershipEffects Membership::OnPeriod(MonotonicTime now) {
  MembershipEffects effects;
  this->DetectPause(now);
  this->ExpireProbes(now);
  this->ExpireSuspicions(now);
  this->RemoveDead(now);
  this->ProbeNext(now, effects);
  this->ProbeSuspect(effects);
  this->ContactSeeds(effects);
  this->periods += 1;
  return effects;
}

void Membership::DetectPause(MonotonicTime now) {
  const auto last = std::exchange(this->last_period, now);
  if (!last || now - *last < this->parameters.heartbeat_period * kPauseThresholdPeriods) {
    return;
  }
  // This process received no answers while it was paused, so a missing answer in that time is no
  // sign of a failed peer.
  this->counts.pauses += 1;
  const auto gap = now - *last;
  for (auto& [name, member] : this->members) {
    member.probe_deadline.reset();
    if (member.dead_at) {
      *member.dead_at += gap;
    }
  }
}

void Membership::ExpireProbes(MonotonicTime now) {
  for (auto& [name, member] : this->members) {
    if (!member.probe_deadline || now < *member.probe_deadline) {
      continue;
    }
    member.probe_deadline.reset();
    if (member.info.state == InstanceState::kAlive) {
      this->SetState(member, InstanceState::kSuspect, now);
    } else if (member.info.state == InstanceState::kLeaving && !member.dead_at) {
      member.dead_at = now + this->parameters.suspicion_time;
    }
  }
}

void Membership::ExpireSuspicions(MonotonicTime now) {
  for (auto& [name, member] : this->members) {
    if (member.dead_at && now >= *member.dead_at) {
      this->SetState(member, InstanceState::kDead, now);
    }
  }
}

void Membership::RemoveDead(MonotonicTime now) {
  std::erase_if(this->members, [&](const auto& entry) {
    const Member& member = entry.second;
    const bool expired = member.info.state == InstanceState::kDead &&
                         now - member.changed_at >= this->parameters.dead_retention;
    this->view_version += expired ? 1 : 0;
    return expired;
  });
}

void Membership::ProbeNext(MonotonicTime now, MembershipEffects& effects) {
  for (int refills = 0; refills < 2;) {
    if (this->probe_round.empty()) {
      refills += 1;
      for (const auto& [name, member] : this->members) {
        if (IsActive(member)) {
          this->probe_round.push_back(name);
        }
      }
      std::shuffle(this->probe_round.begin(), this->probe_round.end(), this->random);
      continue;
    }
    const auto found = this->members.find(this->probe_round.back());
    this->probe_round.pop_back();
    if (found == this->members.end() || !IsActive(found->second) || found->second.probe_deadline) {
      continue;
    }
    found->second.probe_deadline = now + this->parameters.probe_time;
    SendHeartbeat send = this->HeartbeatTo(found->second.info);
    send.is_probe = true;
    effects.emplace_back(std::move(send));
    return;
  }
}

void Membership::ProbeSuspect(MembershipEffects& effects) {
  std::vector<const FleetInstance*> suspects;
  for (const auto& [name, member] : this->members) {
    if (member.info.state == InstanceState::kSuspect) {
      suspects.push_back(&member.info);
    }
  }
  if (!suspects.empty()) {
    effects.emplace_back(this->HeartbeatTo(*suspects[this->RandomBelow(suspects.size())]));
  }
}

void Membership::ContactSeeds(MembershipEffects& effects) {
  const bool without_peers = std::none_of(this->members.begin(), this->members.end(),
                                          [](const auto& entry) { return IsActive(entry.second); });
  if (!without_peers &&
      this->periods % static_cast<std::uint64_t>(this->parameters.seed_interval) != 0) {
    return;
  }
  std::map<std::string, std::string> candidates;
  for (const auto& [name, member] : this->members) {
    if (!IsActive(member)) {
      candidates[name] = member.info.peer_address;
    }
  }
  for (const auto& [name, address] : this->listed) {
    const auto known = this->members.find(name);
    if (name != this->self.name && (known == this->members.end() || !IsActive(known->second))) {
      candidates[name] = address;
    }
  }
  std::vector<std::pair<std::string, std::string>> seeds(candidates.begin(), candidates.end());
  std::shuffle(seeds.begin(), seeds.end(), this->random);
  seeds.resize(std::min(seeds.size(), without_peers ? kSeedsWithoutPeers : std::size_t{1}));
  for (const auto& [name, address] : seeds) {
    SendHeartbeat send;
    send.target = name;
    send.address = address;
    send.heartbeat = this->MakeHeartbeat(name);
    effects.emplace_back(std::move(send));
  }
}

void Membership::OnListed(const std::vector<datastore::ListedInstance>& instances) {
  this->listed.clear();
  for (const datastore::ListedInstance& instance : instances) {
    this->listed[instance.name] = instance.address;
  }
}

Heartbeat Membership::OnHeartbeat(const Heartbeat& heartbeat, MonotonicTime now) {
  this->RecordContact(heartbeat.sender, now);
  for (const FleetInstance& update : heartbeat.updates) {
    this->Apply(update, now);
  }
  return this->MakeHeartbeat(heartbeat.sender.name);
}

MembershipEffects Membership::OnAnswer(const SendHeartbeat& sent, const Heartbeat& answer,
                                       MonotonicTime now) {
  MembershipEffects effects;
  this->RecordContact(answer.sender, now);
  for (const FleetInstance& update : answer.updates) {
    this->Apply(update, now);
  }
  if (answer.sender.name != sent.target) {
    const auto replaced = this->members.find(sent.target);
    if (replaced != this->members.end() && replaced->second.info.peer_address == sent.address &&
        IsActive(replaced->second)) {
      this->SetState(replaced->second, InstanceState::kDead, now);
    }
    this->listed.erase(sent.target);
  } else if (!sent.confirm_to.empty()) {
    effects.emplace_back(SendConfirmation{sent.confirm_to, answer.sender});
  }
  this->CompareViews(sent, answer, now, effects);
  return effects;
}

void Membership::CompareViews(const SendHeartbeat& sent, const Heartbeat& answer, MonotonicTime now,
                              MembershipEffects& effects) {
  if (answer.members_digest == this->Digest()) {
    this->mismatch_since.reset();
    this->joined = true;
    return;
  }
  if (!this->mismatch_since) {
    this->mismatch_since = now;
  }
  const bool due = !this->last_sync || now - *this->last_sync >= this->parameters.sync_period;
  const bool has_lasted = now - *this->mismatch_since >= this->parameters.mismatch_time;
  if (!this->joined || (due && has_lasted)) {
    this->last_sync = now;
    this->counts.syncs += 1;
    effects.emplace_back(RequestMembers{sent.address});
  }
}

MembershipEffects Membership::OnProbeFailed(const std::string& target, MonotonicTime now) {
  MembershipEffects effects;
  const auto found = this->members.find(target);
  if (found == this->members.end() || !found->second.probe_deadline) {
    return effects;
  }
  const std::string address = found->second.info.peer_address;
  const auto relays = this->RandomPeers(this->parameters.indirect_probes, target);
  for (const FleetInstance* relay : relays) {
    effects.emplace_back(SendProbeRequest{relay->peer_address, target, address});
  }
  if (relays.empty()) {
    found->second.probe_deadline = now;
  }
  return effects;
}

MembershipEffects Membership::OnProbeRequest(const std::string& requester_address,
                                             const std::string& target,
                                             const std::string& target_address) {
  SendHeartbeat send;
  send.target = target;
  send.address = target_address;
  send.confirm_to = requester_address;
  send.heartbeat = this->MakeHeartbeat(target);
  return {std::move(send)};
}

void Membership::OnConfirmation(const FleetInstance& target, MonotonicTime now) {
  this->RecordContact(target, now);
}

void Membership::OnMembers(const std::vector<FleetInstance>& peers, MonotonicTime now) {
  this->joined = true;
  this->mismatch_since.reset();
  for (const FleetInstance& peer : peers) {
    this->Apply(peer, now);
  }
}

MembershipEffects Membership::SetLeaving(bool leaving) {
  const auto state = leaving ? InstanceState::kLeaving : InstanceState::kAlive;
  if (this->self.state == state) {
    return {};
  }
  this->self.state = state;
  return this->GossipOwnChange();
}

MembershipEffects Membership::SetBatchAddress(const std::string& address) {
  if (this->self.batch_address == address) {
    return {};
  }
  this->self.batch_address = address;
  return this->GossipOwnChange();
}

MembershipEffects Membership::GossipOwnChange() {
  this->self.incarnation += 1;
  this->view_version += 1;
  this->update_queue.Push(this->self.name);
  return this->GossipNow();
}

MembershipEffects Membership::GossipNow() {
  MembershipEffects effects;
  for (const FleetInstance* peer : this->RandomPeers(this->parameters.eager_peers, "")) {
    effects.emplace_back(this->HeartbeatTo(*peer));
  }
  return effects;
}

std::vector<FleetInstance> Membership::Members() const {
  std::vector<FleetInstance> all{this->self};
  for (const auto& [name, member] : this->members) {
    all.push_back(member.info);
  }
  return all;
}

FleetView Membership::View() const {
  FleetView view;
  view.self = this->self.name;
  view.instances = this->Members();
  std::sort(view.instances.begin(), view.instances.end(),
            [](const auto& left, const auto& right) { return left.name < right.name; });
  return view;
}

void Membership::Apply(const FleetInstance& update, MonotonicTime now) {
  if (update.name == this->self.name) {
    this->ApplyToSelf(update);
    return;
  }
  const auto found = this->members.find(update.name);
  if (found == this->members.end()) {
    this->ApplyNew(update, now);
    return;
  }
  Member& member = found->second;
  member.info.sheet_revision = std::max(member.info.sheet_revision, update.sheet_revision);
  if (!Supersedes(update, member.info)) {
    return;
  }
  member.info = update;
  this->SetState(member, update.state, now);
}

void Membership::ApplyToSelf(const FleetInstance& update) {
  const bool newer = update.incarnation > this->self.incarnation;
  if (!newer && !(update.incarnation == this->self.incarnation &&
                  static_cast<int>(update.state) > static_cast<int>(this->self.state))) {
    return;
  }
  this->self.incarnation = update.incarnation + 1;
  this->counts.refutations += 1;
  this->view_version += 1;
  this->update_queue.Push(this->self.name);
}

void Membership::ApplyNew(const FleetInstance& update, MonotonicTime now) {
  Member& member = this->members[update.name];
  member.info = update;
  this->SetState(member, update.state, now);
  if (IsActive(member)) {
    const std::size_t position = this->RandomBelow(this->probe_round.size() + 1);
    this->probe_round.insert(this->probe_round.begin() + static_cast<std::ptrdiff_t>(position),
                             update.name);
  }
}

void Membership::SetState(Member& member, InstanceState state, MonotonicTime now) {
  member.info.state = state;
  member.changed_at = now;
  member.dead_at.reset();
  if (state == InstanceState::kSuspect) {
    member.dead_at = now + this->parameters.suspicion_time;
    this->counts.suspicions += 1;
  }
  if (state == InstanceState::kDead) {
    member.probe_deadline.reset();
    this->counts.deaths += 1;
  }
  this->view_version += 1;
  this->update_queue.Push(member.info.name);
}

void Membership::RecordContact(const FleetInstance& sender, MonotonicTime now) {
  this->Apply(sender, now);
  const auto found = this->members.find(sender.name);
  if (found == this->members.end()) {
    return;
  }
  found->second.probe_deadline.reset();
  if (found->second.info.state == InstanceState::kLeaving) {
    found->second.dead_at.reset();
  }
}

Heartbeat Membership::MakeHeartbeat(const std::string& target) {
  Heartbeat heartbeat;
  heartbeat.sender = this->self;
  heartbeat.members_digest = this->Digest();
  const auto known = this->members.find(target);
  const bool refutable = known != this->members.end() &&
                         known->second.info.state != InstanceState::kAlive &&
                         known->second.info.state != InstanceState::kLeaving;
  if (refutable) {
    heartbeat.updates.push_back(known->second.info);
  }
  for (const std::string& name :
       this->update_queue.Take(this->parameters.updates_per_message, this->Transmissions())) {
    const auto found = this->members.find(name);
    if (found != this->members.end() && !(refutable && name == target)) {
      heartbeat.updates.push_back(found->second.info);
    }
  }
  return heartbeat;
}

SendHeartbeat Membership::HeartbeatTo(const FleetInstance& target) {
  SendHeartbeat send;
  send.target = target.name;
  send.address = target.peer_address;
  send.heartbeat = this->MakeHeartbeat(target.name);
  return send;
}

std::vector<const FleetInstance*> Membership::RandomPeers(std::size_t count,
                                                          const std::string& excluded) {
  std::vector<const FleetInstance*> peers;
  for (const auto& [name, member] : this->members) {
    if (name != excluded && IsActive(member)) {
      peers.push_back(&member.info);
    }
  }
  std::shuffle(peers.begin(), peers.end(), this->random);
  peers.resize(std::min(peers.size(), count));
  return peers;
}

std::uint64_t Membership::Digest() const {
  const auto hash = [](const FleetInstance& instance) {
    const bool leaving = instance.state == InstanceState::kLeaving;
    return framework::Hash(instance.name, instance.incarnation * 2 + (leaving ? 1 : 0));
  };
  std::uint64_t digest = hash(this->self);
  for (const auto& [name, member] : this->members) {
    digest ^= IsActive(member) ? hash(member.info) : 0;
  }
  return digest;
}

int Membership::Transmissions() const {
  const double size = static_cast<double>(this->members.size()) + 2;
  return kTransmissionFactor * static_cast<int>(std::ceil(std::log2(size)));
}

std::size_t Membership::RandomBelow(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
}

}  // namespace lentilhead::fleet::internal
