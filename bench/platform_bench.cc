#include <benchmark/benchmark.h>

#include <string>

#include "datastore/internal/write_resolution.h"
#include "sheet/sheet_parser.h"
#include "standin/platform/memory_table.h"

namespace {

using lentilhead::datastore::TableError;
using lentilhead::datastore::TableErrorKind;
using lentilhead::datastore::TableRow;
using lentilhead::datastore::internal::SendRead;
using lentilhead::datastore::internal::WriteResolution;
using lentilhead::datastore::internal::WriteStep;
using lentilhead::framework::MonotonicTime;
using lentilhead::framework::Reply;
using lentilhead::standin::MemoryTable;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr std::chrono::milliseconds kWriteTimeout{1'000};

std::string CsvOf(std::int64_t rows) {
  std::string csv = "service,model,version,adapter,capacity,zones,roles,window\n";
  for (std::int64_t row = 0; row < rows; ++row) {
    csv += "service-" + std::to_string(row) + ",model,1.2,adapter,12,zone-a|zone-b,online|batch,";
    csv += "22:00-06:30\n";
  }
  return csv;
}

void ParseSheet(benchmark::State& state) {
  const std::string csv = CsvOf(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(lentilhead::sheet::ParseSheet(csv));
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}

/// Replaces one row repeatedly. @param state range 0: share of lost answers in percent.
void ResolveWrites(benchmark::State& state) {
  MemoryTable table;
  TableRow row{"p", "r", table.Insert("p", "r", "{}").etag, {{"n", 1}}};
  std::uint64_t sequence = 0;
  std::int64_t requests = 0;
  for (auto _ : state) {
    ++sequence;
    WriteResolution write(row, {"writer", sequence, ""}, kStart, kWriteTimeout);
    const std::string text = write.Row().value.dump();
    TableRow stored = write.Row();
    stored.etag = table.Replace("p", "r", row.etag, text).etag;
    ++requests;
    WriteStep step = write.OnWritten(stored, kStart);
    if (static_cast<std::int64_t>(sequence % 100) < state.range(0)) {
      step = write.OnWritten(TableError{TableErrorKind::kOutcomeUnknown, ""}, kStart);
    }
    if (std::holds_alternative<SendRead>(step)) {
      const auto found = table.Get("p", "r");
      ++requests;
      step = write.OnRead(TableRow{"p", "r", found->etag, nlohmann::json::parse(found->value)},
                          kStart);
    }
    benchmark::DoNotOptimize(step);
    row = std::move(stored);
  }
  state.counters["requests_per_write"] =
      static_cast<double>(requests) / static_cast<double>(state.iterations());
  state.counters["row_bytes"] = static_cast<double>(row.value.dump().size());
}

}  // namespace

BENCHMARK(ParseSheet)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(ResolveWrites)->Arg(0)->Arg(10)->Arg(100);

BENCHMARK_MAIN();
