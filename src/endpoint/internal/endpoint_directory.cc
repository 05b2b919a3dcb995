#include "endpoint/endpoint_directory.h"

#include <utility>

#include "endpoint/internal/directory_state.h"
#include "framework/hash.h"

namespace lentilhead::endpoint {

EndpointDirectory::EndpointDirectory(const EndpointSettings& settings, std::string instance_name,
                                     std::string zone, datastore::InstanceListClient& list,
                                     framework::HttpClient& http, framework::TimerService& timers,
                                     framework::Metrics& metrics) {
  const std::uint64_t seed = framework::Hash(instance_name);
  this->state = std::make_shared<State>(settings, std::move(instance_name), std::move(zone), seed,
                                        list, http, timers, metrics);
}

EndpointDirectory::~EndpointDirectory() { this->state->Stop(); }

void EndpointDirectory::Start() { this->state->Start(); }

std::optional<EndpointInfo> EndpointDirectory::Choose(const RouteRequest& request) {
  return this->state->table.Choose(request, this->state->Now());
}

bool EndpointDirectory::CanSend(const std::string& endpoint) const {
  return this->state->table.CanSend(endpoint, this->state->Now());
}

bool EndpointDirectory::CanSend(const std::string& endpoint, const RouteRequest& request) const {
  return this->state->table.CanSend(endpoint, request, this->state->Now());
}

void EndpointDirectory::OnAttemptStarted(const std::string& endpoint) {
  this->state->table.OnAttemptStarted(endpoint, this->state->Now());
}

void EndpointDirectory::OnAttemptEnded(const std::string& endpoint, AttemptEnd end) {
  this->state->CountEnd(end);
  this->state->table.OnAttemptEnded(endpoint, end, this->state->Now());
}

void EndpointDirectory::OnFirstByte(const std::string& endpoint, std::chrono::nanoseconds latency) {
  this->state->table.OnFirstByte(endpoint, latency);
}

void EndpointDirectory::SetDrained(const std::set<std::string>& endpoints) {
  this->state->table.SetDrained(endpoints);
}

std::vector<EndpointInfo> EndpointDirectory::EndpointsOf(const std::string& service) const {
  return this->state->table.EndpointsOf(service);
}

std::optional<LoadReport> EndpointDirectory::ReportOf(const std::string& endpoint) const {
  const internal::EndpointRecord* record = this->state->table.Find(endpoint);
  return record == nullptr ? std::nullopt : record->load.Report();
}

void EndpointDirectory::Watch(const std::string& endpoint) { this->state->table.Watch(endpoint); }

void EndpointDirectory::Unwatch(const std::string& endpoint) {
  this->state->table.Unwatch(endpoint);
}

EndpointDirectory::ServiceLoad EndpointDirectory::LoadOf(const std::string& service) const {
  const auto load = this->state->table.LoadOf(service, this->state->Now());
  return {.slots = load.slots, .used = load.used, .endpoints = load.endpoints};
}

void EndpointDirectory::OnChange(std::function<void()> handler) {
  this->state->handlers.push_back(std::move(handler));
}

}  // namespace lentilhead::endpoint
