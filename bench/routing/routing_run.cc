#include "bench/routing/routing_run.h"

#include <algorithm>
#include <cmath>

#include "framework/hash.h"

namespace lentilhead::bench {

using endpoint::AttemptEnd;
using endpoint::internal::EndpointTable;
using framework::MonotonicTime;
using standin::GenerationEvent;
using standin::GenerationEventKind;
using std::chrono::milliseconds;

namespace {

constexpr const char* kService = "profiles";
constexpr milliseconds kStep{1};
constexpr milliseconds kPrefill{200};
constexpr milliseconds kTokenInterval{10};
constexpr milliseconds kReportLag{200};
constexpr milliseconds kReportPeriod{250};
constexpr milliseconds kWarmUp{10'000};
constexpr std::uint64_t kSeedCount = 4;
constexpr double kMedianQuantile = 0.5;
constexpr double kTailQuantile = 0.99;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

double QuantileOf(std::vector<double>& values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

}  // namespace

RoutingRun::RoutingRun(const RoutingScenario& scenario, const std::string& policy,
                       std::uint64_t seed)
    : scenario(scenario), random(seed) {
  for (const EngineSpeed& speed : scenario.engines) {
    this->AddEngine(speed);
  }
  for (int instance = 0; instance < scenario.instances; ++instance) {
    this->AddInstance(policy);
  }
}

void RoutingRun::AddEngine(const EngineSpeed& speed) {
  Engine engine;
  engine.name = "engine-" + std::to_string(this->engines.size());
  engine.slots = speed.slots;
  engine.batch = std::make_unique<standin::ContinuousBatch>(
      standin::BatchTiming{.slots = speed.slots,
                           .token_interval = kTokenInterval,
                           .prefill = kPrefill,
                           .cache_prefixes = this->scenario.cache_prefixes});
  engine.batch->SetSlowFactor(speed.slow_factor);
  this->engines.push_back(std::move(engine));
}

void RoutingRun::AddInstance(const std::string& policy) {
  endpoint::EndpointSettings settings;
  settings.services.push_back({.name = kService});
  settings.policy = policy;
  settings.report_lag = kReportLag;
  const std::string name = "instance-" + std::to_string(this->tables.size());
  auto table = std::make_unique<EndpointTable>(settings, name, "zone-a", framework::Hash(name));
  std::vector<datastore::ListedInstance> listed;
  for (const Engine& engine : this->engines) {
    listed.push_back({.name = engine.name, .address = engine.name, .zone = "zone-a"});
  }
  table->OnList(kService, listed);
  this->tables.push_back(std::move(table));
}

double RoutingRun::ArrivalsPerSecond() const {
  const double seconds = Seconds(kPrefill) + this->scenario.mean_tokens * Seconds(kTokenInterval);
  double capacity = 0;
  for (const EngineSpeed& engine : this->scenario.engines) {
    capacity += engine.slots / engine.slow_factor;
  }
  return this->scenario.utilization * capacity / seconds;
}

RoutingResult RoutingRun::Run() {
  std::exponential_distribution<double> gap(this->ArrivalsPerSecond());
  double next_arrival = gap(this->random);
  const MonotonicTime end = MonotonicTime(kWarmUp) + this->scenario.length;
  for (MonotonicTime now{}; now < end; now += kStep) {
    const auto step = now.time_since_epoch() / kStep;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
      this->Advance(index, now);
    }
    for (std::size_t instance = 0; instance < this->tables.size(); ++instance) {
      const auto phase = static_cast<std::int64_t>(instance) * kReportPeriod.count() /
                         static_cast<std::int64_t>(this->tables.size());
      if (step % kReportPeriod.count() == phase) {
        this->Report(instance, now);
      }
    }
    for (; next_arrival <= Seconds(now.time_since_epoch()); next_arrival += gap(this->random)) {
      this->Arrive(now);
    }
  }
  RoutingResult result;
  result.requests = this->first_token_seconds.size();
  result.p50_seconds = QuantileOf(this->first_token_seconds, kMedianQuantile);
  result.p99_seconds = QuantileOf(this->first_token_seconds, kTailQuantile);
  result.cache_hit_share = this->admitted == 0 ? 0
                                               : static_cast<double>(this->cache_hits) /
                                                     static_cast<double>(this->admitted);
  return result;
}

void RoutingRun::Arrive(MonotonicTime now) {
  // The same random numbers are drawn under every policy, so that all policies get the same load.
  const std::size_t instance = this->random() % this->tables.size();
  const std::uint64_t draw = this->random();
  const int tokens =
      1 + std::geometric_distribution<int>(1 / this->scenario.mean_tokens)(this->random);
  const std::uint64_t id = this->next_id++;
  endpoint::RouteRequest route{.service = kService};
  if (this->scenario.prefixes > 0) {
    const auto prefix = draw % static_cast<std::uint64_t>(this->scenario.prefixes);
    route.prefix_hash = framework::Hash("prefix-" + std::to_string(prefix));
  }
  EndpointTable& table = *this->tables[instance];
  const auto chosen = table.Choose(route, now);
  const std::size_t engine = std::stoul(chosen->name.substr(chosen->name.find('-') + 1));
  table.OnAttemptStarted(chosen->name, now);
  this->requests[id] = {instance, engine, now, now >= MonotonicTime(kWarmUp)};
  this->engines[engine].batch->Submit(
      {.id = id, .prefix_hash = route.prefix_hash, .tokens = tokens}, now);
}

void RoutingRun::Advance(std::size_t index, MonotonicTime now) {
  Engine& engine = this->engines[index];
  for (const GenerationEvent& event : engine.batch->AdvanceTo(now)) {
    this->Handle(event);
  }
  engine.samples.push_back({now, engine.batch->Running(), engine.batch->Waiting()});
  while (engine.samples.size() > 1 && engine.samples.front().time + kReportLag < now) {
    engine.samples.pop_front();
  }
}

void RoutingRun::Handle(const GenerationEvent& event) {
  const Request& request = this->requests.at(event.id);
  EndpointTable& table = *this->tables[request.instance];
  const std::string& name = this->engines[request.engine].name;
  switch (event.kind) {
    case GenerationEventKind::kAdmitted:
      this->admitted += request.measured ? 1 : 0;
      this->cache_hits += request.measured && event.cache_hit ? 1 : 0;
      return;
    case GenerationEventKind::kToken:
      if (event.token == 0) {
        table.OnFirstByte(name, event.time - request.arrival);
        if (request.measured) {
          this->first_token_seconds.push_back(Seconds(event.time - request.arrival));
        }
      }
      return;
    case GenerationEventKind::kFinished:
      table.OnAttemptEnded(name, AttemptEnd::kSucceeded, event.time);
      this->requests.erase(event.id);
      return;
  }
}

void RoutingRun::Report(std::size_t instance, MonotonicTime now) {
  for (const Engine& engine : this->engines) {
    const Sample& sample = engine.samples.front();
    this->tables[instance]->OnReport(
        engine.name, {.running = sample.running, .waiting = sample.waiting, .slots = engine.slots},
        now);
  }
}

RoutingResult RunRoutingScenario(const RoutingScenario& scenario, const std::string& policy,
                                 std::uint64_t seed) {
  return RoutingRun(scenario, policy, seed).Run();
}

RoutingResult RunRoutingSeeds(const RoutingScenario& scenario, const std::string& policy) {
  RoutingResult mean;
  for (std::uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    const RoutingResult result = RunRoutingScenario(scenario, policy, seed);
    mean.requests += result.requests;
    mean.p50_seconds += result.p50_seconds / kSeedCount;
    mean.p99_seconds += result.p99_seconds / kSeedCount;
    mean.cache_hit_share += result.cache_hit_share / kSeedCount;
  }
  return mean;
}

}  // namespace lentilhead::bench
