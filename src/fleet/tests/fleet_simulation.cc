#include "fleet_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "fleet/types/instance_state_name.h"
#include "framework/hash.h"

namespace lentilhead::fleet::internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeriod{500};
constexpr milliseconds kTimeout{300};
constexpr int kMaxLatencyMs = 20;
constexpr std::size_t kPollers = 3;

}  // namespace

FleetSimulation::FleetSimulation(int instances, std::uint64_t seed, PlantedFault fault)
    : random(seed), fault(fault), nodes(Index(instances)) {
  for (int index = 0; index < instances; ++index) {
    this->Restart(index);
  }
}

void FleetSimulation::Run(milliseconds time) { this->timers->AdvanceBy(time); }

void FleetSimulation::Crash(int index) {
  Node& node = this->nodes[Index(index)];
  node.up = false;
  node.run += 1;
  node.ticks.Cancel();
}

void FleetSimulation::Restart(int index) {
  this->Crash(index);
  Node& node = this->nodes[Index(index)];
  FleetInstance self;
  self.name = NameOf(index);
  self.peer_address = AddressOf(index);
  self.batch_address = self.peer_address;
  self.incarnation = this->incarnation++;
  MembershipParameters parameters;
  if (this->fault == PlantedFault::kNeverSuspects) {
    parameters.probe_time = std::chrono::hours(24);
  }
  node.membership = std::make_unique<Membership>(self, parameters, this->random());
  node.replica = std::make_unique<ReplicaTracker>(ReplicaParameters{}, this->random());
  node.up = true;
  node.paused = false;
  node.highest_seen = 0;
  std::vector<datastore::ListedInstance> listed;
  listed.reserve(this->nodes.size());
  for (int peer = 0; peer < static_cast<int>(this->nodes.size()); ++peer) {
    listed.push_back({NameOf(peer), AddressOf(peer), "", datastore::ListedState::kLive});
  }
  node.membership->OnListed(listed);
  this->After(milliseconds(this->random() % kPeriod.count()), [this, index, run = node.run] {
    Node& started = this->nodes[Index(index)];
    if (started.run == run) {
      started.ticks = this->timers->Every(kPeriod, [this, index] { this->Tick(index); });
    }
  });
}

void FleetSimulation::Pause(int index, bool paused) { this->nodes[Index(index)].paused = paused; }

void FleetSimulation::Submit(int index) {
  this->store_revision += 1;
  this->Take(index, this->store_revision);
}

void FleetSimulation::Tick(int index) {
  Node& node = this->nodes[Index(index)];
  if (node.paused) {
    return;
  }
  this->Execute(index, node.membership->OnPeriod(this->timers->Now()));
  const std::vector<std::string> owners = node.membership->View().OwnerNames();
  const auto order = framework::RendezvousOrder("pollers", owners);
  bool polls = false;
  for (std::size_t rank = 0; rank < std::min(kPollers, order.size()); ++rank) {
    polls = polls || owners[order[rank]] == NameOf(index);
  }
  this->Execute(index, node.replica->OnTick(polls, this->timers->Now()));
}

void FleetSimulation::Execute(int index, const MembershipEffects& effects) {
  for (const MembershipEffect& effect : effects) {
    if (const auto* send = std::get_if<SendHeartbeat>(&effect)) {
      this->Send(index, *send);
    } else if (const auto* request = std::get_if<SendProbeRequest>(&effect)) {
      this->Deliver(index, request->relay_address, [this, index, asked = *request](int relay) {
        this->Execute(relay, this->nodes[Index(relay)].membership->OnProbeRequest(
                                 AddressOf(index), asked.target, asked.target_address));
      });
    } else if (const auto* confirmation = std::get_if<SendConfirmation>(&effect)) {
      this->Deliver(
          index, confirmation->address, [this, target = confirmation->target](int requester) {
            this->nodes[Index(requester)].membership->OnConfirmation(target, this->timers->Now());
          });
    } else if (const auto* members = std::get_if<RequestMembers>(&effect)) {
      this->Deliver(index, members->address, [this, index](int peer) {
        this->Deliver(peer, AddressOf(index),
                      [this, all = this->nodes[Index(peer)].membership->Members()](int back) {
                        this->nodes[Index(back)].membership->OnMembers(all, this->timers->Now());
                      });
      });
    }
  }
}

void FleetSimulation::Send(int from, const SendHeartbeat& send) {
  this->most_updates = std::max(this->most_updates, send.heartbeat.updates.size());
  SendHeartbeat sent = send;
  Node& sender = this->nodes[Index(from)];
  sent.heartbeat.revisions.sheet = sender.replica->Report(this->timers->Now());
  if (this->fault == PlantedFault::kNoRefutation) {
    sent.heartbeat.sender.incarnation = 1;
  }
  const std::uint64_t run = sender.run;
  const auto answered = std::make_shared<bool>(false);
  this->Deliver(from, send.address, [=, this](int to) {
    *answered = true;
    this->Answer(from, to, sent, run);
  });
  this->After(kTimeout, [=, this] {
    Node& node = this->nodes[Index(from)];
    if (!*answered && sent.is_probe && node.up && node.run == run && !node.paused) {
      this->Execute(from, node.membership->OnProbeFailed(sent.target, this->timers->Now()));
    }
  });
}

void FleetSimulation::Answer(int from, int to, const SendHeartbeat& send, std::uint64_t run) {
  const auto now = this->timers->Now();
  Node& receiver = this->nodes[Index(to)];
  Heartbeat answer = receiver.membership->OnHeartbeat(send.heartbeat, now);
  this->OnPeer(to, send.heartbeat);
  answer.revisions.sheet = receiver.replica->Report(now);
  if (this->fault == PlantedFault::kNoRefutation) {
    answer.sender.incarnation = 1;
  }
  this->Deliver(to, AddressOf(from), [=, this](int back) {
    Node& node = this->nodes[Index(back)];
    if (node.run != run) {
      return;
    }
    this->Execute(back, node.membership->OnAnswer(send, answer, this->timers->Now()));
    this->OnPeer(back, answer);
  });
}

void FleetSimulation::OnPeer(int index, const Heartbeat& heartbeat) {
  Node& node = this->nodes[Index(index)];
  this->Execute(index,
                node.replica->OnPeer(heartbeat.sender.peer_address, heartbeat.revisions.sheet,
                                     this->timers->Now() - kTimeout));
}

void FleetSimulation::Execute(int index, const ReplicaEffects& effects) {
  for (const ReplicaEffect& effect : effects) {
    const std::uint64_t run = this->nodes[Index(index)].run;
    const auto guarded = [this, index, run](const std::function<void(Node&)>& action) {
      this->After(Latency(), [=, this] {
        Node& node = this->nodes[Index(index)];
        if (node.up && node.run == run) {
          action(node);
        }
      });
    };
    if (std::holds_alternative<ReadStore>(effect)) {
      this->store_reads += 1;
      guarded([=, this, down = this->store_down, revision = this->store_revision](Node& node) {
        if (down) {
          node.replica->OnStoreFailed();
        } else {
          this->Execute(index, node.replica->OnStoreRevision(revision));
        }
      });
    } else if (std::holds_alternative<FetchFromStore>(effect)) {
      guarded([=, this, down = this->store_down, revision = this->store_revision](Node& node) {
        if (!down) {
          this->Take(index, revision);
        }
        this->Execute(index, node.replica->OnFetchEnded());
      });
    } else if (const auto* fetch = std::get_if<FetchFromPeer>(&effect)) {
      if (this->fault == PlantedFault::kForgetsToFetch) {
        continue;
      }
      this->Deliver(index, fetch->address, [=, this](int peer) {
        this->Take(index, this->nodes[Index(peer)].replica->Held());
      });
      this->After(kTimeout, [=, this] {
        Node& node = this->nodes[Index(index)];
        if (node.up && node.run == run) {
          this->Execute(index, node.replica->OnFetchEnded());
        }
      });
    }
  }
}

void FleetSimulation::Take(int index, std::uint64_t revision) {
  Node& node = this->nodes[Index(index)];
  if (!node.up || revision <= node.replica->Held()) {
    return;
  }
  node.replica->OnTaken(revision, this->timers->Now());
  REQUIRE(node.replica->Held() >= node.highest_seen);
  REQUIRE(node.replica->Held() <= this->store_revision);
  node.highest_seen = node.replica->Held();
  this->Execute(index, node.membership->SpreadEagerly());
}

void FleetSimulation::Deliver(int from, const std::string& address,
                              const std::function<void(int)>& action) {
  this->messages += 1;
  const int to = this->NodeAt(address);
  if (to < 0 || !this->CanReach(from, to)) {
    return;
  }
  const std::uint64_t run = this->nodes[Index(to)].run;
  this->After(this->Latency(), [=, this] {
    const Node& node = this->nodes[Index(to)];
    if (node.up && node.run == run && !node.paused) {
      action(to);
    }
  });
}

bool FleetSimulation::CanReach(int from, int to) {
  const bool split = this->side.contains(from) != this->side.contains(to);
  return !split && std::uniform_real_distribution<double>(0, 1)(this->random) >= this->loss;
}

int FleetSimulation::NodeAt(const std::string& address) const {
  for (int index = 0; index < static_cast<int>(this->nodes.size()); ++index) {
    if (AddressOf(index) == address) {
      return index;
    }
  }
  return -1;
}

void FleetSimulation::After(milliseconds delay, std::function<void()> action) {
  const std::uint64_t id = this->next_event++;
  this->events[id] = this->timers->After(delay, [this, id, action = std::move(action)] {
    const auto keep = std::move(this->events[id]);
    this->events.erase(id);
    action();
  });
}

milliseconds FleetSimulation::Latency() {
  return milliseconds(1 + static_cast<int>(this->random() % kMaxLatencyMs));
}

FleetView FleetSimulation::ViewOf(int index) const {
  return this->nodes[Index(index)].membership->View();
}

std::uint64_t FleetSimulation::RevisionOf(int index) const {
  return this->nodes[Index(index)].replica->Held();
}

std::string FleetSimulation::FindDifference() const {
  for (int index = 0; index < static_cast<int>(this->nodes.size()); ++index) {
    if (!this->IsUp(index)) {
      continue;
    }
    if (this->RevisionOf(index) != this->store_revision) {
      return NameOf(index) + " has revision " + std::to_string(this->RevisionOf(index));
    }
    const FleetView view = this->ViewOf(index);
    for (int peer = 0; peer < static_cast<int>(this->nodes.size()); ++peer) {
      const FleetInstance* seen = view.Find(NameOf(peer));
      const bool alive = seen != nullptr && seen->state == InstanceState::kAlive;
      if (alive != this->IsUp(peer)) {
        return NameOf(index) + " sees " + NameOf(peer) + " as " +
               (seen == nullptr ? "unknown" : lentilhead::fleet::NameOf(seen->state));
      }
    }
  }
  return "";
}

}  // namespace lentilhead::fleet::internal
