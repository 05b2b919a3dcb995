#pragma once

#include <chrono>
#include <string>

namespace lentilhead::bench {

/// Options of one run of the benchmark.
struct BenchOptions {
  std::string mode = "first-token";  ///< `first-token`, `short` or `tokens`.
  std::string direct;                ///< `ip:port` of the endpoint, called directly.
  std::string entry;                 ///< `ip:port` of the entry.
  std::string key;
  std::string model = "profile-writer";
  std::string path = "/services/listings/dogs";  ///< Path on the entry in mode `short`.
  int rate = 1'000;   ///< Streams started per second in mode `first-token`.
  int streams = 400;  ///< Requests in flight in modes `short` and `tokens`.
  int tokens = 4;     ///< Tokens per stream.
  int threads = 4;
  std::chrono::milliseconds window{
      500};  ///< Length of the alternating windows of direct and entry calls.
  int windows = 40;
  int entry_pid = 0;
};

}  // namespace lentilhead::bench
