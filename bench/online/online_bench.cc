#include <popt.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

#include "bench/online/load_worker.h"

namespace lentilhead::bench {

namespace {

constexpr std::chrono::milliseconds kDrainTime{500};  ///< For calls in flight at the end.
constexpr int kUserTimeField = 12;  ///< Position of the user time after the name in /proc/PID/stat.

/// Reads a number from /proc/PID/status. @return an empty string if it cannot be read.
std::string ReadStatusNumber(int pid, const std::string& name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(name + ":")) {
      std::istringstream fields(line.substr(name.size() + 1));
      std::string number;
      fields >> number;
      return number;
    }
  }
  return "";
}

/// Reads the CPU time of a process in clock ticks. @return 0 if it cannot be read.
std::int64_t ReadCpuTicks(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string field;
  for (int index = 0; index < kUserTimeField - 1; ++index) {
    fields >> field;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return user + system;
}

void Print(const char* side, SampleSet& samples, double seconds) {
  std::printf("%-7s answers %zu failed %zu p50 %.3f ms p90 %.3f ms p99 %.3f ms", side,
              samples.completed, samples.failed, samples.Quantile(0.5), samples.Quantile(0.9),
              samples.Quantile(0.99));
  std::printf(" | %.0f answers/s %.0f events/s\n", static_cast<double>(samples.completed) / seconds,
              static_cast<double>(samples.events) / seconds);
}

void Report(const BenchOptions& options, SampleSet& direct, SampleSet& entry, std::int64_t ticks) {
  const bool paired = options.mode == "first-token";
  const double seconds =
      std::chrono::duration<double>(options.window * options.windows).count() / (paired ? 2 : 1);
  if (!direct.durations.empty()) {
    Print("direct", direct, seconds);
  }
  if (!entry.durations.empty()) {
    Print("entry", entry, seconds);
  }
  if (paired) {
    std::printf(
        "added   p50 %.3f ms p90 %.3f ms p99 %.3f ms\n", entry.Quantile(0.5) - direct.Quantile(0.5),
        entry.Quantile(0.9) - direct.Quantile(0.9), entry.Quantile(0.99) - direct.Quantile(0.99));
  }
  if (options.entry_pid != 0) {
    const double cores = static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK)) /
                         std::chrono::duration<double>(options.window * options.windows).count();
    std::printf("entry process: %.2f cores, resident %s KiB, most resident %s KiB\n", cores,
                ReadStatusNumber(options.entry_pid, "VmRSS").c_str(),
                ReadStatusNumber(options.entry_pid, "VmHWM").c_str());
  }
}

int Run(const BenchOptions& options) {
  std::vector<std::unique_ptr<LoadWorker>> workers;
  workers.reserve(static_cast<std::size_t>(options.threads));
  for (int number = 0; number < options.threads; ++number) {
    workers.push_back(std::make_unique<LoadWorker>(options, number));
  }
  const std::int64_t ticks = ReadCpuTicks(options.entry_pid);
  for (const auto& worker : workers) {
    worker->Start();
  }
  std::this_thread::sleep_for(options.window * options.windows + kDrainTime);
  SampleSet direct;
  SampleSet entry;
  for (const auto& worker : workers) {
    worker->Stop();
    direct.Merge(worker->direct);
    entry.Merge(worker->entry);
  }
  Report(options, direct, entry, ReadCpuTicks(options.entry_pid) - ticks);
  return direct.failed + entry.failed == 0 ? 0 : 1;
}

int Main(int argc, const char** argv) {
  BenchOptions options;
  char* mode = nullptr;
  char* direct = nullptr;
  char* entry = nullptr;
  char* key = nullptr;
  int seconds = 20;
  const poptOption table[] = {
      {"mode", 0, POPT_ARG_STRING, &mode, 0, "first-token, short or tokens", "MODE"},
      {"direct", 0, POPT_ARG_STRING, &direct, 0, "Address of the endpoint", "IP:PORT"},
      {"entry", 0, POPT_ARG_STRING, &entry, 0, "Address of the entry", "IP:PORT"},
      {"key", 0, POPT_ARG_STRING, &key, 0, "Key of a caller", "KEY"},
      {"rate", 0, POPT_ARG_INT, &options.rate, 0, "Streams started per second", "N"},
      {"streams", 0, POPT_ARG_INT, &options.streams, 0, "Requests in flight", "N"},
      {"tokens", 0, POPT_ARG_INT, &options.tokens, 0, "Tokens per stream", "N"},
      {"threads", 0, POPT_ARG_INT, &options.threads, 0, "Threads that send requests", "N"},
      {"seconds", 0, POPT_ARG_INT, &seconds, 0, "Duration of the run in seconds", "N"},
      {"entry-pid", 0, POPT_ARG_INT, &options.entry_pid, 0,
       "Process id of the entry, to measure its CPU time and memory", "PID"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1) {
    std::fprintf(stderr, "%s\n", poptStrerror(result));
    return 2;
  }
  options.mode = mode == nullptr ? options.mode : mode;
  options.direct = direct == nullptr ? "" : direct;
  options.entry = entry == nullptr ? "" : entry;
  options.key = key == nullptr ? "" : key;
  options.windows = static_cast<int>(std::chrono::seconds(seconds) / options.window);
  return Run(options);
}

}  // namespace

}  // namespace lentilhead::bench

int main(int argc, const char** argv) { return lentilhead::bench::Main(argc, argv); }
