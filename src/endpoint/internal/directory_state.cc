#include "endpoint/internal/directory_state.h"

#include <algorithm>
#include <utility>

#include "endpoint/endpoint_request.h"
#include "endpoint/internal/load_report_parser.h"
#include "framework/log_event.h"

namespace lentilhead::endpoint {

using framework::HttpFailure;
using framework::HttpResponse;
using framework::MonotonicTime;
using framework::Reply;

namespace {

constexpr int kStatusOk = 200;

const char* NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return "succeeded";
    case AttemptEnd::kCancelledByCaller:
      return "cancelled_by_caller";
    case AttemptEnd::kRefusedBusy:
      return "refused_busy";
    case AttemptEnd::kRefusedDraining:
      return "refused_draining";
    case AttemptEnd::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

EndpointDirectory::State::State(const EndpointSettings& settings, std::string instance_name,
                                std::string zone, std::uint64_t seed,
                                datastore::InstanceListClient& list, framework::HttpClient& http,
                                framework::TimerService& timers, framework::Metrics& metrics)
    : table(settings, std::move(instance_name), std::move(zone), seed),
      settings(settings),
      list(list),
      http(http),
      timers(timers),
      metrics(metrics),
      reports(metrics.GetCounter("endpoint_reports_total")),
      failed_reports(metrics.GetCounter("endpoint_report_failures_total")),
      failed_lists(metrics.GetCounter("endpoint_list_failures_total")) {}

void EndpointDirectory::State::Start() {
  this->FetchLists();
  this->list_timer = this->timers.Every(this->settings.list_period, [this] { this->FetchLists(); });
  this->report_timer =
      this->timers.Every(this->settings.report_period, [this] { this->PollReports(); });
}

void EndpointDirectory::State::Stop() {
  this->list_timer.Cancel();
  this->report_timer.Cancel();
  this->report_calls.clear();
  this->handlers.clear();
}

void EndpointDirectory::State::NotifyChange() {
  for (const auto& handler : this->handlers) {
    handler();
  }
}

void EndpointDirectory::State::CountEnd(AttemptEnd end) {
  this->metrics.GetCounter("endpoint_attempts_total", {{"end", NameOf(end)}}).Add();
}

void EndpointDirectory::State::FetchLists() {
  for (const ServiceSettings& service : this->settings.services) {
    this->FetchList(service.name);
  }
}

void EndpointDirectory::State::FetchList(const std::string& service) {
  if (!this->list_reads.insert(service).second) {
    return;
  }
  this->list.Fetch(service, [weak = weak_from_this(), service](auto reply) {
    const auto state = weak.lock();
    if (!state) {
      return;
    }
    state->list_reads.erase(service);
    if (!reply) {
      // The last list stays in use while the platform cannot be read.
      state->failed_lists.Add();
      return;
    }
    if (state->table.OnList(service, reply.Value())) {
      framework::LogEvent(framework::Severity::kInfo, "endpoints_changed")
          .With("service", service)
          .With("endpoints", reply.Value().size());
      state->PollReports();
      state->UpdateGauges();
      state->NotifyChange();
    }
  });
}

void EndpointDirectory::State::PollReports() {
  const std::vector<EndpointInfo> watched = this->table.Watched();
  const MonotonicTime now = this->timers.Now();
  const auto min_period =
      std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(
          static_cast<double>(watched.size()) / this->settings.reports_per_second));
  const auto period = std::max<std::chrono::nanoseconds>(this->settings.report_period, min_period);
  std::map<std::string, MonotonicTime> next;
  for (const EndpointInfo& endpoint : watched) {
    const auto due = this->next_report_at.find(endpoint.name);
    if (due != this->next_report_at.end() && due->second > now) {
      next.emplace(*due);
      continue;
    }
    // The poll is due half a report period early, so that a timer that fires slightly early does
    // not delay it by a whole period.
    next.emplace(endpoint.name, now + period - this->settings.report_period / 2);
    this->PollReport(endpoint);
  }
  this->next_report_at = std::move(next);
}

void EndpointDirectory::State::PollReport(const EndpointInfo& endpoint) {
  if (this->report_calls.contains(endpoint.name)) {
    return;
  }
  const MonotonicTime requested_at = this->timers.Now();
  framework::HttpRequest request = RequestTo(endpoint.address, "/load");
  request.timeout = this->settings.report_timeout;
  request.idle_timeout = this->settings.report_timeout;
  this->report_calls[endpoint.name] = this->http.Send(
      std::move(request), [weak = weak_from_this(), endpoint, requested_at](auto reply) {
        if (const auto state = weak.lock()) {
          state->OnReport(endpoint, requested_at, std::move(reply));
        }
      });
}

void EndpointDirectory::State::OnReport(const EndpointInfo& endpoint, MonotonicTime requested_at,
                                        Reply<HttpResponse, HttpFailure> reply) {
  this->report_calls.erase(endpoint.name);
  const internal::EndpointRecord* record = this->table.Find(endpoint.name);
  if (record == nullptr || record->info != endpoint) {
    return;
  }
  std::optional<LoadReport> report;
  if (reply && reply.Value().head.status == kStatusOk) {
    report = internal::ParseLoadReport(reply.Value().body);
  }
  if (report) {
    this->reports.Add();
    this->table.OnReport(endpoint.name, *std::move(report), requested_at);
  } else {
    this->failed_reports.Add();
    this->table.OnReportFailed(endpoint.name, this->timers.Now());
  }
  this->UpdateGauges();
  this->NotifyChange();
}

void EndpointDirectory::State::UpdateGauges() {
  for (const ServiceSettings& service : this->settings.services) {
    this->metrics.GetGauge("endpoints_ejected", {{"service", service.name}})
        .Set(this->table.EjectedOf(service.name));
    this->metrics.GetGauge("endpoints_listed", {{"service", service.name}})
        .Set(static_cast<std::int64_t>(this->table.EndpointsOf(service.name).size()));
  }
}

}  // namespace lentilhead::endpoint
