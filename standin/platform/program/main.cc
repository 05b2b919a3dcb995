#include <popt.h>

#include <cstdio>

#include "framework/log_event.h"
#include "framework/program.h"
#include "standin/platform/platform_server.h"

namespace {

using lentilhead::standin::PlatformServer;
using lentilhead::standin::PlatformServerOptions;

/// Reads the command line. @return false if it is invalid.
bool ReadOptions(int argc, const char** argv, PlatformServerOptions& options) {
  int port = 0;
  int list_lag = 0;
  long weight_size = static_cast<long>(options.weight_size);  // NOLINT(google-runtime-int)
  const poptOption table[] = {
      {"port", 'p', POPT_ARG_INT, &port, 0, "Port to listen on; 0 selects a free port", "PORT"},
      {"list-lag-ms", 0, POPT_ARG_INT, &list_lag, 0, "Lag of the instance list", "MS"},
      {"writes-per-second", 0, POPT_ARG_DOUBLE, &options.writes_per_second, 0,
       "Rate limit of writes, applied to each service separately", "RATE"},
      {"reads-per-second", 0, POPT_ARG_DOUBLE, &options.reads_per_second, 0,
       "Rate limit of reads, applied to each service separately", "RATE"},
      {"weight-bytes-per-second", 0, POPT_ARG_DOUBLE, &options.weight_bytes_per_second, 0,
       "Total rate limit of all weight downloads", "RATE"},
      {"weight-size", 0, POPT_ARG_LONG, &weight_size, 0, "Size of every model's weights", "BYTES"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(result));
  }
  poptFreeContext(context);
  options.port = static_cast<std::uint16_t>(port);
  options.list_lag = std::chrono::milliseconds(list_lag);
  options.weight_size = static_cast<std::size_t>(weight_size);
  return result >= -1;
}

}  // namespace

int main(int argc, const char** argv) {
  PlatformServerOptions options;
  if (!ReadOptions(argc, argv, options)) {
    return lentilhead::framework::kExitUsage;
  }
  lentilhead::framework::StartLogging("lentilhead-standin-platform");
  const auto timers = lentilhead::framework::TimerService::OnMainContext(nullptr);
  PlatformServer server(options, *timers);
  const auto port = server.Listen();
  if (!port) {
    std::fprintf(stderr, "cannot listen on port %d\n", options.port);
    return lentilhead::framework::kExitFailure;
  }
  std::printf("ready port=%d\n", port.value());
  std::fflush(stdout);
  lentilhead::framework::ProgramLoop* running = nullptr;
  const auto quit = [&] { running->Quit(lentilhead::framework::kExitOk); };
  lentilhead::framework::ProgramLoop loop(quit, quit);
  running = &loop;
  return loop.Run();
}
