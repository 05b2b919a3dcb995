#include <memory>
#include <utility>

#include "fleet/internal/fleet_codec.h"
#include "fleet/internal/fleet_state.h"
#include "fleet/internal/status_collection.h"

namespace lentilhead::fleet {

namespace {

constexpr std::chrono::milliseconds kStatusTimeout{1'000};
constexpr std::size_t kMaxRequestsInFlight = 32;

bool CanRequestStatus(const InstanceStatus& status) {
  return !status.answered && status.instance.state != InstanceState::kDead;
}

}  // namespace

void FleetModule::State::FetchStatus(StatusHandler handler) {
  auto collection = std::make_shared<internal::StatusCollection>();
  collection->handler = std::move(handler);
  for (const FleetInstance& instance : this->view.instances) {
    InstanceStatus status;
    status.instance = instance;
    collection->statuses.push_back(instance.name == this->settings.name ? this->OwnStatus()
                                                                        : status);
  }
  this->RequestStatuses(collection);
}

void FleetModule::State::RequestStatuses(
    const std::shared_ptr<internal::StatusCollection>& collection) {
  auto& statuses = collection->statuses;
  while (collection->in_flight < kMaxRequestsInFlight && collection->next < statuses.size()) {
    const std::size_t index = collection->next++;
    if (!CanRequestStatus(statuses[index])) {
      continue;
    }
    collection->in_flight += 1;
    this->Call(statuses[index].instance.peer_address, "fleet.status",
               Json::Value(Json::objectValue), kStatusTimeout,
               [this, collection, index](const auto& reply) {
                 InstanceStatus& status = collection->statuses[index];
                 auto answer = reply ? internal::StatusFromJson(reply.Value()) : std::nullopt;
                 if (answer && answer->instance.name == status.instance.name) {
                   status = *std::move(answer);
                 }
                 collection->in_flight -= 1;
                 this->RequestStatuses(collection);
               });
  }
  if (collection->in_flight == 0 && collection->handler) {
    const auto done = std::exchange(collection->handler, nullptr);
    done(std::move(statuses));
  }
}

}  // namespace lentilhead::fleet
