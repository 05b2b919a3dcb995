#include "fleet/internal/fleet_state.h"

#include <utility>

#include "fleet/internal/fleet_codec.h"
#include "fleet/types/instance_state_name.h"
#include "framework/hash.h"
#include "framework/log_event.h"

namespace lentilhead::fleet {

namespace {

using framework::LogEvent;
using framework::Severity;

constexpr char kListService[] = "lentilhead";
constexpr std::chrono::milliseconds kMembersTimeout{2'000};
constexpr int kProbeTimeoutFactor = 3;
// While it runs, the batch process requests the view many times within this time.
constexpr std::chrono::seconds kBatchTimeout{3};
// Heartbeat periods after which a new process that has not joined shows its view to the other
// processes. By then, a peer has had time to answer.
constexpr int kFirstViewPeriods = 6;
// Number of list periods between two reads of the platform's list by an instance that has joined.
// It reads the list seldom because
// the list grows with the fleet and is needed only after a network partition.
constexpr int kJoinedListPeriods = 12;
// Time after the start during which an instance that has not joined reads the list in every
// heartbeat period.
constexpr std::chrono::seconds kJoinTime{30};

std::chrono::milliseconds WallMilliseconds(const framework::TimerService& timers) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(timers.WallNow().time_since_epoch());
}

FleetInstance SelfOf(const FleetSettings& settings, const framework::TimerService& timers) {
  FleetInstance self;
  self.name = settings.name;
  self.zone = settings.zone;
  self.peer_address = settings.peer_address;
  self.operator_address = settings.operator_address;
  self.version = LENTILHEAD_VERSION;
  self.incarnation = static_cast<std::uint64_t>(WallMilliseconds(timers).count());
  return self;
}

internal::MembershipParameters ParametersOf(const FleetSettings& settings) {
  internal::MembershipParameters parameters;
  parameters.heartbeat_period = settings.heartbeat_period;
  parameters.probe_time = settings.heartbeat_timeout * kProbeTimeoutFactor;
  parameters.suspicion_time = settings.suspicion_time;
  parameters.indirect_probes = static_cast<std::size_t>(settings.indirect_probes);
  parameters.eager_peers = static_cast<std::size_t>(settings.eager_peers);
  parameters.updates_per_message = static_cast<std::size_t>(settings.updates_per_message);
  return parameters;
}

internal::ReplicaParameters ReplicaParametersOf(const FleetSettings& settings) {
  internal::ReplicaParameters parameters;
  parameters.poll_period = settings.sheet_poll_period;
  return parameters;
}

std::uint64_t RandomSeed() { return framework::Hash(framework::RandomId()); }

}  // namespace

FleetModule::State::State(FleetSettings settings, Dependencies dependencies)
    : settings(std::move(settings)),
      dependencies(dependencies),
      rpc(dependencies.http, this->settings.secret),
      membership(SelfOf(this->settings, dependencies.timers), ParametersOf(this->settings),
                 RandomSeed()),
      sheet_tracker(ReplicaParametersOf(this->settings), RandomSeed()),
      drain_tracker(ReplicaParametersOf(this->settings), RandomSeed()),
      drain_store(std::make_shared<internal::DrainStore>(dependencies.table, dependencies.writer,
                                                         dependencies.timers)),
      view(this->membership.View()),
      view_epoch(this->membership.Self().incarnation),
      started_at(dependencies.timers.Now()) {}

void FleetModule::State::Start() {
  const auto weak = weak_from_this();
  this->dependencies.sheet.OnChange([weak](const sheet::AcceptedSheet& accepted) {
    if (const auto self = weak.lock()) {
      self->OnSheetChanged(accepted.revision);
    }
  });
  framework::TimerService& task_timers = this->dependencies.timers;
  this->timers.push_back(
      task_timers.Every(this->settings.heartbeat_period, [this] { this->OnPeriod(); }));
  this->timers.push_back(
      task_timers.Every(this->settings.list_period, [this] { this->ReadListIfDue(); }));
  this->timers.push_back(task_timers.Every(this->settings.sheet_poll_period, [this] {
    const auto now = this->dependencies.timers.Now();
    this->ExecuteForSheet(this->sheet_tracker.OnTick(this->polls_store, now));
    this->ExecuteForDrains(this->drain_tracker.OnTick(this->polls_store, now));
  }));
  this->ReadList();
  this->ExecuteForSheet(this->sheet_tracker.OnTick(true, task_timers.Now()));
  this->ExecuteForDrains(this->drain_tracker.OnTick(true, task_timers.Now()));
}

void FleetModule::State::Leave() {
  this->terminating = true;
  this->UpdateLeaving();
}

void FleetModule::State::UpdateLeaving() {
  const bool drained = this->drains.instances.contains(this->settings.name);
  this->Execute(this->membership.SetLeaving(this->terminating || drained));
  this->Publish();
}

void FleetModule::State::UpdateBatchAddress() {
  const bool running = this->last_batch_call &&
                       this->dependencies.timers.Now() - *this->last_batch_call < kBatchTimeout;
  this->Execute(this->membership.SetBatchAddress(running ? this->settings.batch_address : ""));
  this->Publish();
}

bool FleetModule::State::IsLeaving() const {
  return this->membership.Self().state == InstanceState::kLeaving;
}

bool FleetModule::State::IsReady() const {
  const auto age = this->sheet_tracker.ConfirmationAge(this->dependencies.timers.Now());
  return this->sheet_tracker.HeldRevision() > 0 && age && *age <= this->settings.readiness_bound &&
         !this->IsLeaving();
}

void FleetModule::State::OnChange(std::function<void()> handler) {
  this->handlers.push_back(std::move(handler));
}

bool FleetModule::State::CanShowView() const {
  const auto age = this->dependencies.timers.Now() - this->started_at;
  return this->membership.HasJoined() || age >= this->settings.heartbeat_period * kFirstViewPeriods;
}

void FleetModule::State::OnPeriod() {
  const auto now = this->dependencies.timers.Now();
  if (!this->membership.HasJoined() && now - this->started_at < kJoinTime) {
    this->ReadList();
  }
  this->Execute(this->membership.OnPeriod(now));
  this->UpdateBatchAddress();
  this->CountEvents();
  this->Publish();
}

void FleetModule::State::ReadListIfDue() {
  this->list_ticks += 1;
  if (!this->membership.HasJoined() || this->list_ticks % kJoinedListPeriods == 0) {
    this->ReadList();
  }
}

void FleetModule::State::ReadList() {
  this->dependencies.list.Fetch(kListService, [weak = weak_from_this()](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!reply) {
      self->Count("fleet_list_failures_total", {});
      return;
    }
    self->membership.OnListed(reply.Value());
  });
}

void FleetModule::State::Execute(internal::MembershipEffects effects) {
  for (internal::MembershipEffect& effect : effects) {
    std::visit([this](auto& each) { this->Execute(std::move(each)); }, effect);
  }
}

void FleetModule::State::Execute(internal::SendHeartbeat send) {
  send.heartbeat.revisions = this->Revisions();
  const Json::Value message = internal::ToJson(send.heartbeat);
  const auto started = this->dependencies.timers.Now();
  const std::string address = send.address;
  this->Count("fleet_messages_sent_total", {{"kind", "heartbeat"}});
  this->Call(address, "fleet.heartbeat", message, this->settings.heartbeat_timeout,
             [this, sent = std::move(send), started](auto reply) {
               this->OnHeartbeatReply(sent, std::move(reply), started);
             });
}

void FleetModule::State::OnHeartbeatReply(
    const internal::SendHeartbeat& sent,
    framework::Reply<Json::Value, framework::JsonRpcFailure> reply,
    framework::MonotonicTime started) {
  const auto now = this->dependencies.timers.Now();
  const auto answer = reply ? internal::HeartbeatFromJson(reply.Value()) : std::nullopt;
  if (!answer) {
    this->Count("fleet_heartbeat_failures_total",
                {{"reason", reply ? "invalid_answer" : "no_answer"}});
    if (sent.is_probe) {
      this->Execute(this->membership.OnProbeFailed(sent.target, now));
    }
    return;
  }
  this->Execute(this->membership.OnAnswer(sent, *answer, now));
  this->OnPeerRevisions(*answer, started);
  this->Publish();
}

void FleetModule::State::Execute(const internal::SendProbeRequest& request) {
  Json::Value message(Json::objectValue);
  message["requester"] = this->settings.peer_address;
  message["target"] = request.target;
  message["address"] = request.target_address;
  this->Count("fleet_messages_sent_total", {{"kind", "probe_request"}});
  this->Call(request.relay_address, "fleet.probe", message, this->settings.heartbeat_timeout,
             [](const auto&) {});
}

void FleetModule::State::Execute(const internal::SendConfirmation& confirmation) {
  this->Count("fleet_messages_sent_total", {{"kind", "confirmation"}});
  this->Call(confirmation.address, "fleet.confirm", internal::ToJson(confirmation.target),
             this->settings.heartbeat_timeout, [](const auto&) {});
}

void FleetModule::State::Execute(const internal::RequestMembers& request) {
  this->Count("fleet_messages_sent_total", {{"kind", "members"}});
  this->Call(request.address, "fleet.members", Json::Value(Json::objectValue), kMembersTimeout,
             [this](const auto& reply) {
               if (reply) {
                 this->membership.OnMembers(internal::InstancesFromJson(reply.Value()["members"]),
                                            this->dependencies.timers.Now());
                 this->Publish();
               }
             });
}

void FleetModule::State::Publish() {
  const bool ready = this->IsReady();
  const bool changed = this->membership.ViewVersion() != this->view_version;
  if (changed) {
    this->view_version = this->membership.ViewVersion();
    this->view = this->membership.View();
    this->polls_store = this->PollsStore();
  }
  if (ready != this->was_ready) {
    LogEvent(Severity::kInfo, "readiness_changed").With("ready", ready);
    this->was_ready = ready;
  } else if (!changed) {
    return;
  }
  for (const auto& handler : this->handlers) {
    handler();
  }
}

void FleetModule::State::CountEvents() {
  const internal::Membership::Counts& counts = this->membership.EventCounts();
  framework::Metrics& metrics = this->dependencies.metrics;
  const auto add = [&metrics](const char* event, std::uint64_t count, std::uint64_t before) {
    metrics.GetCounter("fleet_events_total", {{"event", event}}).Add(count - before);
  };
  add("suspicion", counts.suspicions, this->reported_counts.suspicions);
  add("death", counts.deaths, this->reported_counts.deaths);
  add("refutation", counts.refutations, this->reported_counts.refutations);
  add("view_comparison", counts.syncs, this->reported_counts.syncs);
  add("pause", counts.pauses, this->reported_counts.pauses);
  this->reported_counts = counts;
  metrics.GetGauge("fleet_instances").Set(static_cast<std::int64_t>(this->view.instances.size()));
  metrics.GetGauge("fleet_owners").Set(static_cast<std::int64_t>(this->view.OwnerNames().size()));
  metrics.GetGauge("fleet_ready").Set(this->IsReady() ? 1 : 0);
}

void FleetModule::State::Call(const std::string& address, const char* procedure,
                              const Json::Value& message, std::chrono::milliseconds timeout,
                              ReplyHandler handler) {
  this->calls.Start([&](std::function<void()> end) {
    return this->rpc.Call("http://" + address + "/rpc", procedure, message, timeout,
                          [end = std::move(end), handler = std::move(handler)](auto reply) {
                            handler(std::move(reply));
                            end();
                          });
  });
}

void FleetModule::State::Count(const char* name, const framework::MetricLabels& labels) {
  this->dependencies.metrics.GetCounter(name, labels).Add();
}

}  // namespace lentilhead::fleet
