#include "endpoint/internal/endpoint_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "endpoint/internal/subset.h"

namespace lentilhead::endpoint::internal {

using datastore::ListedInstance;
using datastore::ListedState;
using framework::MonotonicTime;

namespace {

constexpr int kFailedReportsToEject = 3;
constexpr double kFirstByteWeight = 0.2;  ///< Weight of a new value in the moving average.

/// Time during which an endpoint's refusal takes precedence over its reports, since they lag.
constexpr std::chrono::seconds kMinRefusalTime{3};
/// Time after which a refusal expires even if no report has been received.
constexpr std::chrono::seconds kMaxRefusalTime{60};

enum class Match { kNo, kUnknown, kYes };

bool HasRole(const std::string& roles, const std::string& wanted) {
  if (roles.empty()) {
    return true;
  }
  std::size_t start = 0;
  while (start <= roles.size()) {
    const std::size_t end = std::min(roles.find('|', start), roles.size());
    if (roles.compare(start, end - start, wanted) == 0) {
      return true;
    }
    start = end + 1;
  }
  return false;
}

Match MatchOf(const EndpointRecord& record, const RouteRequest& request) {
  const std::optional<LoadReport>& report = record.load.Report();
  const bool has_requirements = !request.model.empty() || !request.version.empty() ||
                                !request.adapter.empty() || !request.role.empty();
  if (!has_requirements) {
    return Match::kYes;
  }
  if (!report) {
    return Match::kUnknown;
  }
  const bool model = request.model.empty() || report->model == request.model;
  const bool version = request.version.empty() || report->version == request.version;
  const bool adapter =
      request.adapter.empty() || std::find(report->adapters.begin(), report->adapters.end(),
                                           request.adapter) != report->adapters.end();
  const bool role = request.role.empty() || HasRole(report->role, request.role);
  return model && version && adapter && role ? Match::kYes : Match::kNo;
}

}  // namespace

EndpointTable::EndpointTable(const EndpointSettings& settings, std::string instance_name,
                             std::string zone, std::uint64_t seed)
    : settings(settings),
      instance_name(std::move(instance_name)),
      zone(std::move(zone)),
      random(seed) {
  for (const ServiceSettings& service : settings.services) {
    this->services[service.name].policy = PolicyOf(settings.policy);
  }
}

bool EndpointTable::OnList(const std::string& service_name,
                           const std::vector<ListedInstance>& listed) {
  const auto found = this->services.find(service_name);
  if (found == this->services.end()) {
    return false;
  }
  bool changed = false;
  std::set<std::string> names;
  for (const ListedInstance& instance : listed) {
    names.insert(instance.name);
    EndpointInfo info{instance.name, service_name, instance.address, instance.zone};
    const bool leaving = instance.state == ListedState::kLeaving;
    const auto [position, added] = this->records.try_emplace(
        instance.name, info, this->settings.ejection_time, this->settings.report_lag);
    EndpointRecord& record = position->second;
    if (!added && record.info != info) {
      // Another process now has this name, so the state of the old one is discarded.
      record = EndpointRecord(info, this->settings.ejection_time, this->settings.report_lag);
      changed = true;
    }
    changed = changed || added || !record.listed || record.listed_as_leaving != leaving;
    record.listed = true;
    record.listed_as_leaving = leaving;
    record.operator_drained = this->drained.contains(instance.name);
  }
  for (EndpointRecord* record : found->second.records) {
    if (record->info.service == service_name && !names.contains(record->info.name)) {
      record->listed = false;
      changed = true;
    }
  }
  if (changed) {
    this->Rebuild(service_name, found->second);
    this->TrimEjections(found->second);
    this->RemoveUnlisted();
  }
  return changed;
}

void EndpointTable::Rebuild(const std::string& service_name, Service& service) {
  service.records.clear();
  service.subset.clear();
  for (auto& [name, record] : this->records) {
    if (record.info.service == service_name && record.listed) {
      record.in_subset = false;
      service.records.push_back(&record);
    }
  }
  const auto by_name = [](const EndpointRecord* left, const EndpointRecord* right) {
    return left->info.name < right->info.name;
  };
  std::sort(service.records.begin(), service.records.end(), by_name);
  std::vector<EndpointRecord*> eligible;
  std::vector<EndpointInfo> infos;
  for (EndpointRecord* record : service.records) {
    if (!record->listed_as_leaving) {
      eligible.push_back(record);
      infos.push_back(record->info);
    }
  }
  for (const std::size_t index :
       SelectSubset(this->instance_name, this->zone, infos,
                    static_cast<std::size_t>(this->settings.subset_size))) {
    eligible[index]->in_subset = true;
    service.subset.push_back(eligible[index]);
  }
  std::sort(service.subset.begin(), service.subset.end(), by_name);
}

void EndpointTable::RemoveUnlisted() {
  std::erase_if(this->records, [](const auto& entry) {
    return !entry.second.listed && entry.second.load.InFlight() == 0;
  });
}

void EndpointTable::OnReport(const std::string& endpoint, LoadReport report,
                             MonotonicTime requested_at) {
  EndpointRecord* record = this->FindMutable(endpoint);
  if (record == nullptr) {
    return;
  }
  record->failed_reports = 0;
  const bool supersedes_refusal =
      record->refused_at &&
      requested_at >= *record->refused_at + kMinRefusalTime + this->settings.report_lag;
  if (supersedes_refusal && !report.draining) {
    record->refused_at.reset();
  }
  record->load.OnReport(std::move(report), requested_at);
}

void EndpointTable::OnReportFailed(const std::string& endpoint, MonotonicTime now) {
  EndpointRecord* record = this->FindMutable(endpoint);
  if (record == nullptr) {
    return;
  }
  record->failed_reports += 1;
  this->EjectIfOutlier(*record, now);
}

void EndpointTable::SetDrained(const std::set<std::string>& endpoints) {
  this->drained = endpoints;
  for (auto& [name, record] : this->records) {
    record.operator_drained = endpoints.contains(name);
  }
}

void EndpointTable::Unwatch(const std::string& endpoint) {
  const auto found = this->watchers.find(endpoint);
  if (found != this->watchers.end() && --found->second <= 0) {
    this->watchers.erase(found);
  }
}

void EndpointTable::OnAttemptStarted(const std::string& endpoint, MonotonicTime now) {
  EndpointRecord* record = this->FindMutable(endpoint);
  if (record == nullptr) {
    return;
  }
  record->load.OnAttemptStarted(now);
  if (record->health.IsEjected()) {
    record->health.OnProbeStarted();
  }
}

void EndpointTable::OnAttemptEnded(const std::string& endpoint, AttemptEnd end, MonotonicTime now) {
  EndpointRecord* record = this->FindMutable(endpoint);
  if (record == nullptr) {
    return;
  }
  record->load.OnAttemptEnded(now);
  record->health.OnAttemptEnded(end, now);
  if (end == AttemptEnd::kRefusedDraining) {
    record->refused_at = now;
  }
  this->EjectIfOutlier(*record, now);
}

void EndpointTable::OnFirstByte(const std::string& endpoint, std::chrono::nanoseconds latency) {
  EndpointRecord* record = this->FindMutable(endpoint);
  if (record == nullptr) {
    return;
  }
  const double seconds = std::chrono::duration<double>(latency).count();
  double& average = record->first_byte_seconds;
  average = average == 0 ? seconds : average + kFirstByteWeight * (seconds - average);
}

void EndpointTable::EjectIfOutlier(EndpointRecord& record, MonotonicTime now) {
  if (record.health.IsEjected()) {
    return;
  }
  const Service& service = this->services.at(record.info.service);
  const bool unreachable = record.failed_reports >= kFailedReportsToEject;
  if (!unreachable && !record.health.IsOutlier(FailureRateOfPeers(service, record))) {
    return;
  }
  const auto ejected = static_cast<std::size_t>(this->EjectedOf(record.info.service));
  if (this->MayEject(service, ejected + 1)) {
    record.health.Eject(now);
    this->ejections += 1;
  }
}

bool EndpointTable::MayEject(const Service& service, std::size_t count) const {
  return static_cast<double>(count) <=
         this->settings.max_ejected_share * static_cast<double>(service.records.size());
}

void EndpointTable::TrimEjections(Service& service) const {
  std::vector<EndpointRecord*> ejected;
  for (EndpointRecord* record : service.records) {
    if (record->health.IsEjected()) {
      ejected.push_back(record);
    }
  }
  std::sort(ejected.begin(), ejected.end(), [](const auto* left, const auto* right) {
    return left->health.EjectedUntil() > right->health.EjectedUntil();
  });
  while (!this->MayEject(service, ejected.size())) {
    ejected.back()->health.Close();
    ejected.pop_back();
  }
}

double EndpointTable::FailureRateOfPeers(const Service& service, const EndpointRecord& record) {
  int attempts = 0;
  int failures = 0;
  for (const EndpointRecord* peer : service.records) {
    if (peer != &record) {
      attempts += peer->health.Attempts();
      failures += peer->health.Failures();
    }
  }
  return attempts == 0 ? 0 : static_cast<double>(failures) / attempts;
}

bool EndpointTable::IsAvailable(const EndpointRecord& record, MonotonicTime now) {
  const bool refuses = record.refused_at && now < *record.refused_at + kMaxRefusalTime;
  const std::optional<LoadReport>& report = record.load.Report();
  return record.listed && !record.listed_as_leaving && !record.operator_drained && !refuses &&
         !(report && report->draining);
}

bool EndpointTable::IsAdmitted(const EndpointRecord& record, MonotonicTime now) {
  const bool answers_reports = record.failed_reports == 0;
  return record.health.Admits(now) && (!record.health.IsEjected() || answers_reports);
}

std::optional<EndpointInfo> EndpointTable::Choose(const RouteRequest& request, MonotonicTime now) {
  const auto found = this->services.find(request.service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  Service& service = found->second;
  for (const bool include_ejected : {false, true}) {
    for (const auto* scope : {&service.subset, &service.records}) {
      const EndpointRecord* chosen =
          this->ChooseFrom(service, *scope, request, include_ejected, now);
      if (chosen != nullptr) {
        return chosen->info;
      }
    }
  }
  return std::nullopt;
}

const EndpointRecord* EndpointTable::ChooseFrom(Service& service,
                                                const std::vector<EndpointRecord*>& scope,
                                                const RouteRequest& request, bool include_ejected,
                                                MonotonicTime now) {
  for (const Match wanted : {Match::kYes, Match::kUnknown}) {
    this->candidates.clear();
    this->candidate_records.clear();
    for (EndpointRecord* record : scope) {
      const bool zone_allowed = request.zones.empty() || request.zones.contains(record->info.zone);
      const bool eligible = zone_allowed && IsAvailable(*record, now) &&
                            (include_ejected || IsAdmitted(*record, now)) &&
                            !request.excluded.contains(record->info.name) &&
                            MatchOf(*record, request) == wanted;
      if (eligible) {
        this->candidates.push_back(this->CandidateOf(*record));
        this->candidate_records.push_back(record);
      }
    }
    if (!this->candidates.empty()) {
      const std::size_t index =
          Pick(service.policy, this->candidates, request.prefix_hash, this->random);
      AdvanceRound(service, this->candidates[index], *this->candidate_records[index]);
      return this->candidate_records[index];
    }
  }
  return nullptr;
}

void EndpointTable::AdvanceRound(Service& service, const Candidate& candidate,
                                 EndpointRecord& record) {
  // An endpoint that was unavailable starts at the current position, so that it does not get all
  // the requests that it missed.
  record.round_position = std::max(record.round_position, service.round_position);
  service.round_position = record.round_position;
  record.round_position += 1.0 / candidate.slots;
}

Candidate EndpointTable::CandidateOf(const EndpointRecord& record) const {
  const std::optional<LoadReport>& report = record.load.Report();
  const ServiceSettings* service = this->settings.FindService(record.info.service);
  const int configured_slots = service == nullptr ? 1 : service->slots;
  return {.name = &record.info.name,
          .slots = std::max(1, report ? report->slots : configured_slots),
          .requests = record.load.Requests(),
          .reported_requests = report ? report->running + report->waiting : 0,
          .first_byte_seconds = record.first_byte_seconds,
          .round_position = record.round_position};
}

bool EndpointTable::CanSend(const std::string& endpoint, MonotonicTime now) const {
  const EndpointRecord* record = this->Find(endpoint);
  return record != nullptr && IsAvailable(*record, now);
}

bool EndpointTable::CanSend(const std::string& endpoint, const RouteRequest& request,
                            MonotonicTime now) const {
  const EndpointRecord* record = this->Find(endpoint);
  if (record == nullptr || !IsAvailable(*record, now)) {
    return false;
  }
  const bool zone_allowed = request.zones.empty() || request.zones.contains(record->info.zone);
  return zone_allowed && record->info.service == request.service &&
         MatchOf(*record, request) != Match::kNo;
}

std::vector<EndpointInfo> EndpointTable::Watched() const {
  std::vector<EndpointInfo> watched;
  for (const auto& [name, service] : this->services) {
    for (const EndpointRecord* record : service.records) {
      if (record->in_subset || this->watchers.contains(record->info.name)) {
        watched.push_back(record->info);
      }
    }
  }
  return watched;
}

std::vector<EndpointInfo> EndpointTable::EndpointsOf(const std::string& service) const {
  std::vector<EndpointInfo> endpoints;
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return endpoints;
  }
  for (const EndpointRecord* record : found->second.records) {
    endpoints.push_back(record->info);
  }
  return endpoints;
}

EndpointTable::Load EndpointTable::LoadOf(const std::string& service, MonotonicTime now) const {
  Load load;
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return load;
  }
  for (const EndpointRecord* record : found->second.subset) {
    if (!IsAvailable(*record, now) || !IsAdmitted(*record, now)) {
      continue;
    }
    const Candidate candidate = this->CandidateOf(*record);
    load.slots += candidate.slots;
    load.used += candidate.requests;
    load.endpoints += 1;
  }
  return load;
}

int EndpointTable::EjectedOf(const std::string& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return 0;
  }
  const auto& listed = found->second.records;
  return static_cast<int>(
      std::count_if(listed.begin(), listed.end(),
                    [](const EndpointRecord* record) { return record->health.IsEjected(); }));
}

EndpointRecord* EndpointTable::FindMutable(const std::string& endpoint) {
  const auto found = this->records.find(endpoint);
  return found == this->records.end() ? nullptr : &found->second;
}

const EndpointRecord* EndpointTable::Find(const std::string& endpoint) const {
  const auto found = this->records.find(endpoint);
  return found == this->records.end() ? nullptr : &found->second;
}

}  // namespace lentilhead::endpoint::internal
