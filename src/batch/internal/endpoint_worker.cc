#include "batch/internal/endpoint_worker.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "batch/internal/invariant.h"
#include "endpoint/endpoint_request.h"

namespace lentilhead::batch::internal {

namespace {

using nlohmann::json;

/// A load sample is valid for this many load periods plus the timeout of a poll.
constexpr int kSampleLifetimePeriods = 4;
constexpr std::chrono::milliseconds kPollTimeout{500};

/// No items are sent for this long after the endpoint refused one.
constexpr std::chrono::milliseconds kPauseAfterRefusal{200};

int NumberOf(const json& report, const char* key, int fallback) {
  const auto found = report.find(key);
  return found != report.end() && found->is_number_integer() ? found->get<int>() : fallback;
}

}  // namespace

EndpointWorker::EndpointWorker(WorkerParts parts, endpoint::EndpointInfo target,
                               const endpoint::ServiceSettings& service, ResultHandler on_result,
                               std::function<void()> on_capacity)
    : parts(parts),
      target(std::move(target)),
      service(service),
      on_result(std::move(on_result)),
      on_capacity(std::move(on_capacity)),
      grant(parts.settings.grant_lifetime),
      policy(parts.settings.policy_weight, parts.settings.burst_memory) {}

EndpointWorker::~EndpointWorker() {
  for (std::size_t count = 0; count < this->runs.size(); ++count) {
    this->parts.directory.OnAttemptEnded(this->target.name,
                                         endpoint::AttemptEnd::kCancelledByCaller);
  }
}

void EndpointWorker::OnView(framework::MonotonicTime confirmed, bool is_owner) {
  this->grant.OnView(confirmed, is_owner, this->parts.timers.Now());
}

void EndpointWorker::OnTick() {
  const framework::MonotonicTime now = this->parts.timers.Now();
  if (!this->grant.MayRun(now) && !this->runs.empty()) {
    this->parts.metrics.GetCounter("batch_preemptions_total", {{"reason", "grant_ended"}})
        .Add(this->runs.size());
    this->PreemptAll();
  }
  if (this->poll || !this->grant.IsOwner()) {
    return;
  }
  const int in_flight = this->InFlight();
  framework::HttpRequest request = endpoint::RequestTo(this->target.address, "/load");
  request.timeout = kPollTimeout;
  request.idle_timeout = kPollTimeout;
  this->poll = this->parts.http.Send(std::move(request), [this, in_flight](auto reply) {
    this->poll.reset();
    if (reply && reply.Value().head.status == 200) {
      this->OnLoad(reply.Value(), in_flight);
    }
  });
}

void EndpointWorker::OnLoad(const framework::HttpResponse& response, int batch_in_flight) {
  const json report = json::parse(response.body, nullptr, false);
  if (!report.is_object()) {
    return;
  }
  const framework::MonotonicTime now = this->parts.timers.Now();
  this->last_sample = now;
  this->endpoint_draining = report.value("draining", false);
  this->policy.OnSample(now, {NumberOf(report, "running", 0), NumberOf(report, "waiting", 0),
                              NumberOf(report, "slots", this->service.slots), batch_in_flight});
  this->CancelExcess();
  if (this->Credit() > 0 || this->IsReadyForSolo()) {
    this->on_capacity();
  }
}

void EndpointWorker::CancelExcess() {
  int excess = this->policy.Excess(this->InFlight());
  std::vector<std::uint64_t> newest;
  for (auto run = this->runs.rbegin(); run != this->runs.rend() && excess > 0; ++run) {
    if (run->second->IsResumable()) {
      newest.push_back(run->first);
      excess -= 1;
    }
  }
  for (const std::uint64_t run : newest) {
    this->parts.metrics.GetCounter("batch_preemptions_total", {{"reason", "online_burst"}}).Add();
    this->Preempt(run);
  }
}

bool EndpointWorker::IsUsable() const {
  const framework::MonotonicTime now = this->parts.timers.Now();
  const auto sample_age = now - this->last_sample;
  return this->grant.MaySend(now) && !this->endpoint_draining && now >= this->paused_until &&
         sample_age < this->parts.settings.load_period * kSampleLifetimePeriods + kPollTimeout &&
         this->parts.directory.CanSend(this->target.name);
}

int EndpointWorker::Credit() const {
  if (this->reserved || this->solo_running || !this->IsUsable()) {
    return 0;
  }
  return std::max(0, this->policy.Grant() - this->InFlight());
}

bool EndpointWorker::IsReadyForSolo() const {
  return this->reserved && this->runs.empty() && this->policy.Grant() > 0 && this->IsUsable();
}

bool EndpointWorker::Start(const GrantedItem& item) {
  const bool has_capacity = item.grant.solo ? this->IsReadyForSolo() : this->Credit() > 0;
  if (!has_capacity) {
    return false;
  }
  auto line = boost::leaf::try_handle_all(
      [&]() -> framework::Result<std::optional<JobLine>> {
        BOOST_LEAF_AUTO(parsed, ParseJobLine(item.line));
        return std::optional<JobLine>(std::move(parsed));
      },
      [] { return std::optional<JobLine>(); });
  if (!line) {
    return false;
  }
  this->TranslateModel(*line);
  const std::uint64_t run = this->next_run++;
  this->solo_running = item.grant.solo;
  auto& started = this->runs[run];
  started = std::make_unique<ItemRun>(item, *std::move(line), this->target, this->service);
  Require(this->InFlight() <= this->policy.Grant(),
          "batch in flight at an endpoint never exceeds its grant");
  this->parts.directory.OnAttemptStarted(this->target.name);
  this->parts.metrics.GetCounter("batch_attempts_total", {{"service", this->service.name}}).Add();
  started->Start(this->parts.http, this->parts.timers, this->parts.settings.item_timeout,
                 [this, run](ItemResult result, endpoint::AttemptEnd end) {
                   this->OnEnd(run, std::move(result), end);
                 });
  return true;
}

void EndpointWorker::TranslateModel(JobLine& line) const {
  const bool has_model =
      line.body.is_object() && line.body.contains("model") && line.body["model"].is_string();
  if (has_model && this->parts.translate_model) {
    line.body["model"] = this->parts.translate_model(line.body["model"].get<std::string>());
  }
}

void EndpointWorker::OnEnd(std::uint64_t run, ItemResult result, endpoint::AttemptEnd end) {
  const auto found = this->runs.find(run);
  const std::string job = found->second->Item().job;
  this->solo_running = false;
  this->runs.erase(found);
  if (result.outcome == AttemptOutcome::kNotRun) {
    this->paused_until = this->parts.timers.Now() + kPauseAfterRefusal;
  }
  this->parts.directory.OnAttemptEnded(this->target.name, end);
  this->parts.metrics.GetCounter("batch_attempt_ends_total", {{"outcome", NameOf(result.outcome)}})
      .Add();
  this->on_result(job, std::move(result));
  this->on_capacity();
}

void EndpointWorker::Preempt(std::uint64_t run) {
  const auto found = this->runs.find(run);
  const std::unique_ptr<ItemRun> cancelled = std::move(found->second);
  this->runs.erase(found);
  this->solo_running = false;
  this->parts.directory.OnAttemptEnded(this->target.name, endpoint::AttemptEnd::kCancelledByCaller);
  ItemResult result = cancelled->Preempt();
  if (cancelled->Item().at_most_once) {
    result.outcome = AttemptOutcome::kLost;
  }
  this->on_result(cancelled->Item().job, std::move(result));
}

bool EndpointWorker::Drop(const std::string& job, const HeldItem& held) {
  for (const auto& [run, item_run] : this->runs) {
    const GrantedItem& item = item_run->Item();
    if (item.job != job || item.grant.item != held.item || item.grant.attempt != held.attempt) {
      continue;
    }
    item_run->Preempt();
    this->runs.erase(run);
    this->solo_running = false;
    this->parts.directory.OnAttemptEnded(this->target.name,
                                         endpoint::AttemptEnd::kCancelledByCaller);
    return true;
  }
  return false;
}

void EndpointWorker::PreemptAll() {
  while (!this->runs.empty()) {
    this->Preempt(this->runs.rbegin()->first);
  }
}

void EndpointWorker::AddHeld(std::map<std::string, std::vector<HeldItem>>& held) const {
  for (const auto& [run, item_run] : this->runs) {
    const GrantedItem& item = item_run->Item();
    held[item.job].push_back({item.grant.item, item.grant.attempt});
  }
}

}  // namespace lentilhead::batch::internal
