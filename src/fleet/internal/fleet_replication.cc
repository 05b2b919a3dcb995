#include <utility>

#include "fleet/internal/fleet_codec.h"
#include "fleet/internal/fleet_state.h"
#include "fleet/internal/json_fields.h"
#include "framework/hash.h"
#include "framework/log_event.h"
#include "sheet/sheet_parser.h"

namespace lentilhead::fleet {

namespace {

using framework::LogEvent;
using framework::Severity;
using internal::FetchFromPeer;
using internal::FetchFromStore;
using internal::ReadStore;
using internal::ReplicaEffect;

constexpr std::chrono::milliseconds kFetchTimeout{1'000};
constexpr char kPollersKey[] = "sheet_pollers";

/// Builds a visitor for std::visit from lambdas.
template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace

bool FleetModule::State::PollsStore() const {
  const std::vector<std::string> owners = this->view.OwnerNames();
  const std::vector<std::size_t> order = framework::RendezvousOrder(kPollersKey, owners);
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    if (owners[order[rank]] == this->settings.name) {
      return rank < static_cast<std::size_t>(this->settings.sheet_pollers);
    }
  }
  return false;
}

internal::ReplicaRevisions FleetModule::State::Revisions() const {
  const auto now = this->dependencies.timers.Now();
  return {this->sheet_tracker.Report(now), this->drain_tracker.Report(now)};
}

void FleetModule::State::OnPeerRevisions(const internal::Heartbeat& heartbeat,
                                         framework::MonotonicTime sent_after) {
  const std::string& address = heartbeat.sender.peer_address;
  this->ExecuteForSheet(
      this->sheet_tracker.OnPeerRevision(address, heartbeat.revisions.sheet, sent_after));
  this->ExecuteForDrains(
      this->drain_tracker.OnPeerRevision(address, heartbeat.revisions.drains, sent_after));
}

void FleetModule::State::ExecuteForSheet(const internal::ReplicaEffects& effects) {
  for (const ReplicaEffect& effect : effects) {
    std::visit(Overloaded{[this](const ReadStore&) { this->ReadSheetRevision(); },
                          [this](const FetchFromStore&) { this->FetchSheetFromStore(); },
                          [this](const FetchFromPeer& fetch) { this->FetchSheetFromPeer(fetch); }},
               effect);
  }
}

void FleetModule::State::ReadSheetRevision() {
  this->Count("fleet_store_reads_total", {{"document", "sheet"}});
  this->dependencies.sheets.FetchRevision([weak = weak_from_this()](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!reply) {
      self->Count("fleet_store_failures_total", {{"document", "sheet"}});
      self->sheet_tracker.OnStoreFailed();
      return;
    }
    self->ExecuteForSheet(self->sheet_tracker.OnStoreRevision(reply.Value()));
    self->Publish();
  });
}

void FleetModule::State::FetchSheetFromStore() {
  this->dependencies.sheets.FetchCurrent([weak = weak_from_this()](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (reply && reply.Value()) {
      self->dependencies.sheet.Offer(reply.Value());
    } else {
      self->Count("fleet_store_failures_total", {{"document", "sheet_body"}});
    }
    self->ExecuteForSheet(self->sheet_tracker.OnFetchEnded());
  });
}

void FleetModule::State::FetchSheetFromPeer(const FetchFromPeer& fetch) {
  Json::Value message(Json::objectValue);
  message["above"] = this->sheet_tracker.HeldRevision();
  this->Count("fleet_messages_sent_total", {{"kind", "sheet_fetch"}});
  this->Call(fetch.address, "sheet.fetch", message, kFetchTimeout, [this](const auto& reply) {
    if (reply) {
      this->ApplyPeerSheet(reply.Value());
    } else {
      this->Count("fleet_peer_fetch_failures_total", {{"document", "sheet"}});
    }
    this->ExecuteForSheet(this->sheet_tracker.OnFetchEnded());
  });
}

void FleetModule::State::ApplyPeerSheet(const Json::Value& answer) {
  auto accepted = std::make_shared<sheet::AcceptedSheet>();
  accepted->revision = internal::CountField(answer, "revision");
  accepted->csv = internal::TextField(answer, "csv");
  if (accepted->revision == 0) {
    return;
  }
  auto parsed = sheet::ParseSheet(accepted->csv);
  if (!parsed) {
    this->Count("fleet_peer_fetch_failures_total", {{"document", "sheet_unreadable"}});
    LogEvent(Severity::kError, "peer_sheet_unreadable").With("revision", accepted->revision);
    return;
  }
  accepted->sheet = std::move(parsed.value());
  this->dependencies.sheet.Offer(std::move(accepted));
}

void FleetModule::State::OnSheetChanged(std::uint64_t revision) {
  LogEvent(Severity::kInfo, "sheet_in_force").With("revision", revision);
  this->sheet_tracker.OnDocumentReceived(revision, this->dependencies.timers.Now());
  this->membership.SetSheetRevision(revision);
  this->dependencies.metrics.GetGauge("fleet_sheet_revision")
      .Set(static_cast<std::int64_t>(revision));
  this->Execute(this->membership.GossipNow());
  this->Publish();
}

void FleetModule::State::ExecuteForDrains(const internal::ReplicaEffects& effects) {
  for (const ReplicaEffect& effect : effects) {
    std::visit(Overloaded{[this](const ReadStore&) { this->FetchDrainsFromStore(); },
                          [this](const FetchFromStore&) { this->FetchDrainsFromStore(); },
                          [this](const FetchFromPeer& fetch) { this->FetchDrainsFromPeer(fetch); }},
               effect);
  }
}

void FleetModule::State::FetchDrainsFromStore() {
  this->Count("fleet_store_reads_total", {{"document", "drains"}});
  this->drain_store->Fetch([weak = weak_from_this()](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!reply) {
      self->Count("fleet_store_failures_total", {{"document", "drains"}});
      self->drain_tracker.OnStoreFailed();
    } else {
      const std::uint64_t revision = reply.Value().revision;
      self->ApplyDrains(std::move(reply.Value()));
      self->ExecuteForDrains(self->drain_tracker.OnStoreRevision(revision));
    }
  });
}

void FleetModule::State::FetchDrainsFromPeer(const FetchFromPeer& fetch) {
  this->Count("fleet_messages_sent_total", {{"kind", "drains_fetch"}});
  this->Call(fetch.address, "drains.fetch", Json::Value(Json::objectValue), kFetchTimeout,
             [this](const auto& reply) {
               auto received = reply ? internal::DrainsFromJson(reply.Value()) : std::nullopt;
               if (received) {
                 this->ApplyDrains(*std::move(received));
               } else {
                 this->Count("fleet_peer_fetch_failures_total", {{"document", "drains"}});
               }
               this->ExecuteForDrains(this->drain_tracker.OnFetchEnded());
             });
}

void FleetModule::State::ApplyDrains(DrainState received) {
  if (received.revision <= this->drains.revision) {
    return;
  }
  this->drains = std::move(received);
  LogEvent(Severity::kInfo, "drains_in_force").With("revision", this->drains.revision);
  this->drain_tracker.OnDocumentReceived(this->drains.revision, this->dependencies.timers.Now());
  this->UpdateLeaving();
  this->Execute(this->membership.GossipNow());
  for (const auto& handler : this->handlers) {
    handler();
  }
}

void FleetModule::State::ChangeDrain(DrainChange change, DrainHandler handler) {
  this->drain_store->Change(std::move(change),
                            [weak = weak_from_this(), handler = std::move(handler)](auto reply) {
                              const auto self = weak.lock();
                              if (self && reply) {
                                self->ApplyDrains(reply.Value());
                              }
                              handler(std::move(reply));
                            });
}

}  // namespace lentilhead::fleet
