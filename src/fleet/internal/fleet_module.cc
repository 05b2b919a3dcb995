#include "fleet/fleet_module.h"

#include <utility>

#include "fleet/internal/fleet_state.h"

namespace lentilhead::fleet {

FleetModule::FleetModule(FleetSettings settings, Dependencies dependencies)
    : state(std::make_shared<State>(std::move(settings), dependencies)) {}

FleetModule::~FleetModule() = default;

void FleetModule::RegisterProcedures(framework::JsonRpcServer& server) {
  this->state->RegisterProcedures(server);
}

void FleetModule::Start() { this->state->Start(); }

void FleetModule::Leave() { this->state->Leave(); }

const FleetView& FleetModule::View() const { return this->state->View(); }

const DrainState& FleetModule::Drains() const { return this->state->Drains(); }

bool FleetModule::IsReady() const { return this->state->IsReady(); }

bool FleetModule::IsLeaving() const { return this->state->IsLeaving(); }

void FleetModule::OnChange(std::function<void()> handler) {
  this->state->OnChange(std::move(handler));
}

void FleetModule::ChangeDrain(DrainChange change, DrainHandler handler) {
  this->state->ChangeDrain(std::move(change), std::move(handler));
}

void FleetModule::FetchStatus(StatusHandler handler) {
  this->state->FetchStatus(std::move(handler));
}

}  // namespace lentilhead::fleet
