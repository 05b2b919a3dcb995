#include "control/control_module.h"

#include <utility>

#include "control/internal/control_state.h"

namespace lentilhead::control {

ControlModule::ControlModule(const ControlSettings& settings,
                             const endpoint::EndpointSettings& endpoints, std::string instance_name,
                             Dependencies dependencies)
    : state(std::make_shared<State>(settings, endpoints, std::move(instance_name), dependencies)) {}

ControlModule::~ControlModule() = default;

void ControlModule::Start() { this->state->Start(); }

void ControlModule::Leave(std::function<void()> done) { this->state->Leave(std::move(done)); }

bool ControlModule::IsLeader() const { return this->state->IsLeader(); }

}  // namespace lentilhead::control
