#include "load/experiment_reader.h"

#include <algorithm>
#include <csignal>
#include <map>

namespace lentilhead::load {

namespace {

using framework::SettingsProblemKind;
using framework::SettingsReader;
using std::chrono::milliseconds;

constexpr milliseconds kMaxDuration{3'600'000};
constexpr double kMaxRatePerSecond = 100'000;
constexpr int kMaxItems = 80'000;
constexpr int kMaxTokens = 100'000;

std::string KeyOf(const std::string& array, std::size_t index, const char* key) {
  return array + "[" + std::to_string(index) + "]." + key;
}

Arrivals ReadArrivals(SettingsReader& reader, const std::string& array, std::size_t index) {
  const double rate = reader.Number(KeyOf(array, index, "rate"), 0, 0, kMaxRatePerSecond);
  if (!reader.Has(KeyOf(array, index, "burst_rate"))) {
    return PoissonArrivals{rate};
  }
  BurstArrivals bursts;
  bursts.rate = rate;
  bursts.burst_rate = reader.Number(KeyOf(array, index, "burst_rate"), 0, 0, kMaxRatePerSecond);
  bursts.period = reader.Milliseconds(KeyOf(array, index, "burst_period_ms"), milliseconds(1'000),
                                      milliseconds(1), kMaxDuration);
  bursts.length = reader.Milliseconds(KeyOf(array, index, "burst_length_ms"), milliseconds(100),
                                      milliseconds(1), bursts.period);
  return bursts;
}

Workload ReadCommon(SettingsReader& reader, const std::string& array, std::size_t index) {
  Workload workload;
  workload.name = reader.RequiredString(KeyOf(array, index, "name"));
  workload.caller = reader.String(KeyOf(array, index, "caller"), "caller-1");
  workload.arrivals = ReadArrivals(reader, array, index);
  workload.timeout = reader.Milliseconds(KeyOf(array, index, "timeout_ms"), workload.timeout,
                                         milliseconds(1), kMaxDuration);
  return workload;
}

void ReadModelWorkloads(SettingsReader& reader, Experiment& experiment) {
  const std::size_t count = reader.TableCount("online");
  for (std::size_t index = 0; index < count; ++index) {
    Workload workload = ReadCommon(reader, "online", index);
    ModelWorkload calls;
    calls.model = reader.RequiredString(KeyOf("online", index, "model"));
    calls.stream = reader.Boolean(KeyOf("online", index, "stream"), true);
    calls.max_tokens = static_cast<int>(
        reader.Integer(KeyOf("online", index, "max_tokens"), calls.max_tokens, 1, kMaxTokens));
    calls.prompt_words = static_cast<int>(
        reader.Integer(KeyOf("online", index, "prompt_words"), calls.prompt_words, 1, kMaxTokens));
    calls.shared_prefixes = static_cast<int>(
        reader.Integer(KeyOf("online", index, "shared_prefixes"), 0, 0, kMaxTokens));
    workload.calls = calls;
    experiment.workloads.push_back(std::move(workload));
  }
}

void ReadPlainWorkloads(SettingsReader& reader, Experiment& experiment) {
  const std::size_t count = reader.TableCount("plain");
  for (std::size_t index = 0; index < count; ++index) {
    Workload workload = ReadCommon(reader, "plain", index);
    PlainWorkload calls;
    calls.service = reader.RequiredString(KeyOf("plain", index, "service"));
    calls.method = reader.String(KeyOf("plain", index, "method"), calls.method);
    calls.path = reader.String(KeyOf("plain", index, "path"), calls.path);
    calls.idempotency_key = reader.Boolean(KeyOf("plain", index, "idempotency_key"), false);
    calls.resend_share = reader.Number(KeyOf("plain", index, "resend_share"), 0, 0, 1);
    workload.calls = calls;
    experiment.workloads.push_back(std::move(workload));
  }
}

void CheckPhase(SettingsReader& reader, const Experiment& experiment, const std::string& key,
                const std::string& phase) {
  const bool exists = std::any_of(experiment.phases.begin(), experiment.phases.end(),
                                  [&](const Phase& candidate) { return candidate.name == phase; });
  if (!exists) {
    reader.Report(SettingsProblemKind::kInvalidValue, key,
                  "is not the name of a phase of this experiment");
  }
}

void ReadPhases(SettingsReader& reader, Experiment& experiment) {
  const std::size_t count = reader.TableCount("phase");
  for (std::size_t index = 0; index < count; ++index) {
    Phase phase;
    phase.name = reader.RequiredString(KeyOf("phase", index, "name"));
    phase.duration = reader.Milliseconds(KeyOf("phase", index, "duration_ms"), milliseconds(10'000),
                                         milliseconds(1), kMaxDuration);
    experiment.phases.push_back(std::move(phase));
  }
  if (experiment.phases.empty()) {
    reader.Report(SettingsProblemKind::kMissingKey, "phase", "at least one phase is required");
  }
}

void ReadJobs(SettingsReader& reader, Experiment& experiment) {
  const std::size_t count = reader.TableCount("job");
  for (std::size_t index = 0; index < count; ++index) {
    JobPlan job;
    job.name = reader.RequiredString(KeyOf("job", index, "name"));
    job.phase = reader.RequiredString(KeyOf("job", index, "phase"));
    CheckPhase(reader, experiment, KeyOf("job", index, "phase"), job.phase);
    job.at =
        reader.Milliseconds(KeyOf("job", index, "at_ms"), job.at, milliseconds(0), kMaxDuration);
    job.caller = reader.String(KeyOf("job", index, "caller"), "caller-1");
    job.service = reader.RequiredString(KeyOf("job", index, "service"));
    job.model = reader.RequiredString(KeyOf("job", index, "model"));
    job.items =
        static_cast<int>(reader.RequiredInteger(KeyOf("job", index, "items"), 1, kMaxItems));
    job.max_tokens = static_cast<int>(
        reader.Integer(KeyOf("job", index, "max_tokens"), job.max_tokens, 1, kMaxTokens));
    job.poison_share = reader.Number(KeyOf("job", index, "poison_share"), 0, 0, 1);
    job.deadline = reader.Milliseconds(KeyOf("job", index, "deadline_ms"), milliseconds(600'000),
                                       milliseconds(1), milliseconds(86'400'000));
    experiment.jobs.push_back(std::move(job));
  }
}

void ReadFaults(SettingsReader& reader, Experiment& experiment) {
  const std::map<std::string, int> signals = {
      {"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
  const std::size_t count = reader.TableCount("fault");
  for (std::size_t index = 0; index < count; ++index) {
    ScheduledFault scheduled;
    scheduled.phase = reader.RequiredString(KeyOf("fault", index, "phase"));
    CheckPhase(reader, experiment, KeyOf("fault", index, "phase"), scheduled.phase);
    scheduled.at = reader.Milliseconds(KeyOf("fault", index, "at_ms"), scheduled.at,
                                       milliseconds(0), kMaxDuration);
    if (reader.Has(KeyOf("fault", index, "signal"))) {
      const std::string signal =
          reader.Choice(KeyOf("fault", index, "signal"), "TERM", {"TERM", "KILL", "STOP", "CONT"});
      scheduled.fault =
          SignalFault{reader.RequiredString(KeyOf("fault", index, "process")), signals.at(signal)};
    } else {
      scheduled.fault =
          StandinFault{reader.RequiredString(KeyOf("fault", index, "target")),
                       reader.String(KeyOf("fault", index, "path"), "/standin/faults"),
                       reader.RequiredString(KeyOf("fault", index, "body"))};
    }
    experiment.faults.push_back(std::move(scheduled));
  }
}

}  // namespace

framework::Result<Experiment> ReadExperiment(SettingsReader& reader) {
  Experiment experiment;
  experiment.name = reader.RequiredString("experiment.name");
  experiment.seed = static_cast<std::uint64_t>(
      reader.Integer("experiment.seed", 1, 1, std::numeric_limits<std::int64_t>::max()));
  experiment.tasks = static_cast<int>(reader.Integer("experiment.tasks", 2, 1, 16));
  experiment.settle =
      reader.Milliseconds("experiment.settle_ms", experiment.settle, milliseconds(0), kMaxDuration);
  ReadPhases(reader, experiment);
  ReadModelWorkloads(reader, experiment);
  ReadPlainWorkloads(reader, experiment);
  ReadJobs(reader, experiment);
  ReadFaults(reader, experiment);
  BOOST_LEAF_CHECK(reader.Finish());
  return experiment;
}

}  // namespace lentilhead::load
