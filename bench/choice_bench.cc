#include <benchmark/benchmark.h>

#include <chrono>
#include <string>
#include <vector>

#include "endpoint/internal/endpoint_table.h"

namespace lentilhead::bench {

namespace {

using endpoint::internal::EndpointTable;

constexpr const char* kService = "profiles";
constexpr int kSlots = 8;

EndpointTable TableOf(int endpoints) {
  endpoint::EndpointSettings settings;
  settings.services.push_back({.name = kService});
  EndpointTable table(settings, "instance", "zone-a", 1);
  std::vector<datastore::ListedInstance> listed;
  listed.reserve(static_cast<std::size_t>(endpoints));
  for (int number = 0; number < endpoints; ++number) {
    listed.push_back({.name = "runner-" + std::to_string(number), .zone = "zone-a"});
  }
  table.OnList(kService, listed);
  for (const datastore::ListedInstance& instance : listed) {
    table.OnReport(instance.name, {.slots = kSlots, .model = "model"}, {});
  }
  return table;
}

/// Measures one choice among the endpoints of a service, with and without a prefix.
void Choose(benchmark::State& state) {
  EndpointTable table = TableOf(static_cast<int>(state.range(0)));
  endpoint::RouteRequest request{.service = kService, .model = "model"};
  request.prefix_hash = static_cast<std::uint64_t>(state.range(1));
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.Choose(request, {}));
  }
}

}  // namespace

BENCHMARK(Choose)->ArgNames({"endpoints", "prefix"})->ArgsProduct({{16, 740}, {0, 1}});

}  // namespace lentilhead::bench

BENCHMARK_MAIN();
