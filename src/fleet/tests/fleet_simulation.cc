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

FleetSimulation::FleetSimulation(int instance_count, std::uint64_t seed, InjectedFault fault)
    : random(seed), fault(fault), instances(Index(instance_count)) {
  for (int index = 0; index < instance_count; ++index) {
    this->Restart(index);
  }
}

void FleetSimulation::Run(milliseconds time) { this->timers->AdvanceBy(time); }

void FleetSimulation::Crash(int index) {
  SimulatedInstance& instance = this->instances[Index(index)];
  instance.up = false;
  instance.generation += 1;
  instance.ticks.Cancel();
}

void FleetSimulation::Restart(int index) {
  this->Crash(index);
  SimulatedInstance& instance = this->instances[Index(index)];
  FleetInstance self;
  self.name = NameOf(index);
  self.peer_address = AddressOf(index);
  self.batch_address = self.peer_address;
  self.incarnation = this->incarnation++;
  MembershipParameters parameters;
  if (this->fault == InjectedFault::kNeverSuspects) {
    parameters.probe_time = std::chrono::hours(24);
  }
  instance.membership = std::make_unique<Membership>(self, parameters, this->random());
  instance.replica = std::make_unique<ReplicaTracker>(ReplicaParameters{}, this->random());
  instance.up = true;
  instance.paused = false;
  instance.highest_revision = 0;
  std::vector<datastore::ListedInstance> listed;
  listed.reserve(this->instances.size());
  for (int peer = 0; peer < static_cast<int>(this->instances.size()); ++peer) {
    listed.push_back({NameOf(peer), AddressOf(peer), "", datastore::ListedState::kLive});
  }
  instance.membership->OnListed(listed);
  this->After(milliseconds(this->random() % kPeriod.count()), [this, index,
                                                               generation = instance.generation] {
    SimulatedInstance& started = this->instances[Index(index)];
    if (started.generation == generation) {
      started.ticks = this->timers->Every(kPeriod, [this, index] { this->Tick(index); });
    }
  });
}

void FleetSimulation::Pause(int index, bool paused) {
  this->instances[Index(index)].paused = paused;
}

void FleetSimulation::Submit(int index) {
  this->store_revision += 1;
  this->ReceiveRevision(index, this->store_revision);
}

void FleetSimulation::Tick(int index) {
  SimulatedInstance& instance = this->instances[Index(index)];
  if (instance.paused) {
    return;
  }
  this->Execute(index, instance.membership->OnPeriod(this->timers->Now()));
  const std::vector<std::string> owners = instance.membership->View().OwnerNames();
  const auto order = framework::RendezvousOrder("pollers", owners);
  bool polls = false;
  for (std::size_t rank = 0; rank < std::min(kPollers, order.size()); ++rank) {
    polls = polls || owners[order[rank]] == NameOf(index);
  }
  this->Execute(index, instance.replica->OnTick(polls, this->timers->Now()));
}

void FleetSimulation::Execute(int index, const MembershipEffects& effects) {
  for (const MembershipEffect& effect : effects) {
    if (const auto* send = std::get_if<SendHeartbeat>(&effect)) {
      this->Send(index, *send);
    } else if (const auto* request = std::get_if<SendProbeRequest>(&effect)) {
      this->Deliver(index, request->relay_address, [this, index, asked = *request](int relay) {
        this->Execute(relay, this->instances[Index(relay)].membership->OnProbeRequest(
                                 AddressOf(index), asked.target, asked.target_address));
      });
    } else if (const auto* confirmation = std::get_if<SendConfirmation>(&effect)) {
      this->Deliver(index, confirmation->address,
                    [this, target = confirmation->target](int requester) {
                      this->instances[Index(requester)].membership->OnConfirmation(
                          target, this->timers->Now());
                    });
    } else if (const auto* members = std::get_if<RequestMembers>(&effect)) {
      this->Deliver(index, members->address, [this, index](int peer) {
        this->Deliver(peer, AddressOf(index),
                      [this, all = this->instances[Index(peer)].membership->Members()](int back) {
                        this->instances[Index(back)].membership->OnMembers(all,
                                                                           this->timers->Now());
                      });
      });
    }
  }
}

void FleetSimulation::Send(int from, const SendHeartbeat& send) {
  this->most_updates = std::max(this->most_updates, send.heartbeat.updates.size());
  SendHeartbeat sent = send;
  SimulatedInstance& sender = this->instances[Index(from)];
  sent.heartbeat.revisions.sheet = sender.replica->Report(this->timers->Now());
  if (this->fault == InjectedFault::kNoRefutation) {
    sent.heartbeat.sender.incarnation = 1;
  }
  const std::uint64_t generation = sender.generation;
  const auto answered = std::make_shared<bool>(false);
  this->Deliver(from, send.address, [=, this](int to) {
    *answered = true;
    this->Answer(from, to, sent, generation);
  });
  this->After(kTimeout, [=, this] {
    SimulatedInstance& instance = this->instances[Index(from)];
    if (!*answered && sent.is_probe && instance.up && instance.generation == generation &&
        !instance.paused) {
      this->Execute(from, instance.membership->OnProbeFailed(sent.target, this->timers->Now()));
    }
  });
}

void FleetSimulation::Answer(int from, int to, const SendHeartbeat& send,
                             std::uint64_t generation) {
  const auto now = this->timers->Now();
  SimulatedInstance& receiver = this->instances[Index(to)];
  Heartbeat answer = receiver.membership->OnHeartbeat(send.heartbeat, now);
  this->OnPeerRevision(to, send.heartbeat);
  answer.revisions.sheet = receiver.replica->Report(now);
  if (this->fault == InjectedFault::kNoRefutation) {
    answer.sender.incarnation = 1;
  }
  this->Deliver(to, AddressOf(from), [=, this](int back) {
    SimulatedInstance& instance = this->instances[Index(back)];
    if (instance.generation != generation) {
      return;
    }
    this->Execute(back, instance.membership->OnAnswer(send, answer, this->timers->Now()));
    this->OnPeerRevision(back, answer);
  });
}

void FleetSimulation::OnPeerRevision(int index, const Heartbeat& heartbeat) {
  SimulatedInstance& instance = this->instances[Index(index)];
  this->Execute(index, instance.replica->OnPeerRevision(heartbeat.sender.peer_address,
                                                        heartbeat.revisions.sheet,
                                                        this->timers->Now() - kTimeout));
}

void FleetSimulation::Execute(int index, const ReplicaEffects& effects) {
  for (const ReplicaEffect& effect : effects) {
    const std::uint64_t generation = this->instances[Index(index)].generation;
    const auto after_latency = [this, index,
                                generation](const std::function<void(SimulatedInstance&)>& action) {
      this->After(Latency(), [=, this] {
        SimulatedInstance& instance = this->instances[Index(index)];
        if (instance.up && instance.generation == generation) {
          action(instance);
        }
      });
    };
    if (std::holds_alternative<ReadStore>(effect)) {
      this->store_reads += 1;
      after_latency([=, this, down = this->store_down,
                     revision = this->store_revision](SimulatedInstance& instance) {
        if (down) {
          instance.replica->OnStoreFailed();
        } else {
          this->Execute(index, instance.replica->OnStoreRevision(revision));
        }
      });
    } else if (std::holds_alternative<FetchFromStore>(effect)) {
      after_latency([=, this, down = this->store_down,
                     revision = this->store_revision](SimulatedInstance& instance) {
        if (!down) {
          this->ReceiveRevision(index, revision);
        }
        this->Execute(index, instance.replica->OnFetchEnded());
      });
    } else if (const auto* fetch = std::get_if<FetchFromPeer>(&effect)) {
      if (this->fault == InjectedFault::kNeverFetches) {
        continue;
      }
      this->Deliver(index, fetch->address, [=, this](int peer) {
        this->ReceiveRevision(index, this->instances[Index(peer)].replica->HeldRevision());
      });
      this->After(kTimeout, [=, this] {
        SimulatedInstance& instance = this->instances[Index(index)];
        if (instance.up && instance.generation == generation) {
          this->Execute(index, instance.replica->OnFetchEnded());
        }
      });
    }
  }
}

void FleetSimulation::ReceiveRevision(int index, std::uint64_t revision) {
  SimulatedInstance& instance = this->instances[Index(index)];
  if (!instance.up || revision <= instance.replica->HeldRevision()) {
    return;
  }
  instance.replica->OnDocumentReceived(revision, this->timers->Now());
  REQUIRE(instance.replica->HeldRevision() >= instance.highest_revision);
  REQUIRE(instance.replica->HeldRevision() <= this->store_revision);
  instance.highest_revision = instance.replica->HeldRevision();
  this->Execute(index, instance.membership->GossipNow());
}

void FleetSimulation::Deliver(int from, const std::string& address,
                              const std::function<void(int)>& action) {
  this->messages += 1;
  const int to = this->InstanceAt(address);
  if (to < 0 || !this->CanReach(from, to)) {
    return;
  }
  const std::uint64_t generation = this->instances[Index(to)].generation;
  this->After(this->Latency(), [=, this] {
    const SimulatedInstance& instance = this->instances[Index(to)];
    if (instance.up && instance.generation == generation && !instance.paused) {
      action(to);
    }
  });
}

bool FleetSimulation::CanReach(int from, int to) {
  const bool split = this->partition.contains(from) != this->partition.contains(to);
  return !split && std::uniform_real_distribution<double>(0, 1)(this->random) >= this->message_loss;
}

int FleetSimulation::InstanceAt(const std::string& address) const {
  for (int index = 0; index < static_cast<int>(this->instances.size()); ++index) {
    if (AddressOf(index) == address) {
      return index;
    }
  }
  return -1;
}

void FleetSimulation::After(milliseconds delay, std::function<void()> action) {
  const std::uint64_t id = this->next_event++;
  this->events[id] = this->timers->After(delay, [this, id, action = std::move(action)] {
    const auto subscription = std::move(this->events[id]);
    this->events.erase(id);
    action();
  });
}

milliseconds FleetSimulation::Latency() {
  return milliseconds(1 + static_cast<int>(this->random() % kMaxLatencyMs));
}

FleetView FleetSimulation::ViewOf(int index) const {
  return this->instances[Index(index)].membership->View();
}

std::uint64_t FleetSimulation::RevisionOf(int index) const {
  return this->instances[Index(index)].replica->HeldRevision();
}

std::string FleetSimulation::FindDifference() const {
  for (int index = 0; index < static_cast<int>(this->instances.size()); ++index) {
    if (!this->IsUp(index)) {
      continue;
    }
    if (this->RevisionOf(index) != this->store_revision) {
      return NameOf(index) + " has revision " + std::to_string(this->RevisionOf(index));
    }
    const FleetView view = this->ViewOf(index);
    for (int peer = 0; peer < static_cast<int>(this->instances.size()); ++peer) {
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
