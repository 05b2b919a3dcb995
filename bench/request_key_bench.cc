#include <benchmark/benchmark.h>

#include <string>

#include "platform/request_key.h"

namespace lentilhead::bench {

namespace {

/// Measures the key of a request. @param state range 0: bytes of the body.
void RequestKey(benchmark::State& state) {
  net::Request request(net::http::verb::post, "/route/1/2", 11);
  request.set(net::http::field::host, "h.example");
  request.body() = std::string(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) {
    benchmark::DoNotOptimize(platform::RequestKeyOf(request));
  }
}

}  // namespace

BENCHMARK(RequestKey)->ArgName("bytes")->Arg(1 << 10)->Arg(100 << 10)->Arg(5 << 20);

}  // namespace lentilhead::bench

BENCHMARK_MAIN();
