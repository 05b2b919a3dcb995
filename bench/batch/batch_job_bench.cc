#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "batch/tests/batch_fleet.h"

namespace {

constexpr std::size_t kPageKibibytes = 4;

std::size_t ResidentKibibytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * kPageKibibytes;
}

}  // namespace

/// Runs one job of N items (80,000 by default) through one batch process. The stand-ins run on the
/// same thread.
int main(int argc, const char** argv) {
  const std::size_t items = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 80'000;
  lentilhead::batch::BatchFleet fleet(1, 2, {}, 64);
  const std::size_t before = ResidentKibibytes();
  const auto started = std::chrono::steady_clock::now();
  const std::string job = fleet.Submit(0, items, "bench");
  const auto accepted = std::chrono::steady_clock::now();
  if (job.empty() || !fleet.RunUntilState(job, "finished")) {
    std::printf("the job was not accepted or did not finish\n");
    return 1;
  }
  const auto ended = std::chrono::steady_clock::now();
  const double submit = std::chrono::duration<double>(accepted - started).count();
  const double run = std::chrono::duration<double>(ended - accepted).count();
  const std::uint64_t writes = fleet.JobWrites();
  std::printf(
      "items %zu submit_s %.2f run_s %.2f items_per_s %.0f job_row_writes %llu "
      "items_per_write %.1f resident_kb_before %zu after %zu\n",
      items, submit, run, static_cast<double>(items) / run, static_cast<unsigned long long>(writes),
      static_cast<double>(items) / static_cast<double>(writes), before, ResidentKibibytes());
  return 0;
}
