#include <popt.h>

#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>

#include "framework/log_event.h"
#include "framework/program.h"
#include "framework/timer_service.h"
#include "framework/types/http_server_error.h"
#include "standin/engine/engine_server.h"

namespace lentilhead::standin {

namespace {

constexpr int kVersionOption = 'V';

struct PoptDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

using PoptContext = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter>;

/// Command-line options in the types that popt writes.
struct CommandLine {
  int port = 0;
  const char* name = "engine";
  const char* zone = "zone-a";
  const char* service = "service";
  const char* kind = "model";
  int slots = 8;
  int queue_limit = 1024;
  int token_interval_ms = 10;
  int prefill_ms = 20;
  int cache_prefixes = 64;
  int report_lag_ms = 200;
  int load_ms = 0;
  const char* fencing = "enforced";
  const char* model = "model";
  const char* version = "1";
  const char* role = "online";
};

/// Reads the command line. @return the exit code if the command line is invalid.
std::optional<int> Read(int argc, const char** argv, CommandLine& line) {
  const poptOption table[] = {
      {"port", 0, POPT_ARG_INT, &line.port, 0, "Port; 0 selects a free port", "N"},
      {"name", 0, POPT_ARG_STRING, &line.name, 0, "Name of the endpoint", "NAME"},
      {"zone", 0, POPT_ARG_STRING, &line.zone, 0, "Availability zone", "ZONE"},
      {"service", 0, POPT_ARG_STRING, &line.service, 0, "Name of the service", "NAME"},
      {"kind", 0, POPT_ARG_STRING, &line.kind, 0, "model or plain", "KIND"},
      {"slots", 0, POPT_ARG_INT, &line.slots, 0, "Maximum running requests", "N"},
      {"queue-limit", 0, POPT_ARG_INT, &line.queue_limit, 0, "Maximum waiting requests", "N"},
      {"token-interval-ms", 0, POPT_ARG_INT, &line.token_interval_ms, 0, "Time between tokens",
       "MS"},
      {"prefill-ms", 0, POPT_ARG_INT, &line.prefill_ms, 0, "Prefill time without a cached prefix",
       "MS"},
      {"cache-prefixes", 0, POPT_ARG_INT, &line.cache_prefixes, 0, "Capacity of the prefix cache",
       "N"},
      {"report-lag-ms", 0, POPT_ARG_INT, &line.report_lag_ms, 0, "Age of load reports", "MS"},
      {"load-ms", 0, POPT_ARG_INT, &line.load_ms, 0, "Duration of a model load", "MS"},
      {"fencing", 0, POPT_ARG_STRING, &line.fencing, 0, "enforced or ignored", "MODE"},
      {"model", 0, POPT_ARG_STRING, &line.model, 0, "Loaded model", "MODEL"},
      {"version", 0, POPT_ARG_STRING, &line.version, 0, "Version of the model", "VERSION"},
      {"role", 0, POPT_ARG_STRING, &line.role, 0, "Role", "ROLE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(poptGetContext(nullptr, argc, argv, table, 0));
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(result));
    return framework::kExitUsage;
  }
  return std::nullopt;
}

/// Converts the command line. @return no value if an option is invalid or out of range.
std::optional<EngineOptions> OptionsOf(const CommandLine& line) {
  const std::string kind = line.kind;
  const std::string fencing = line.fencing;
  const bool in_range = line.port >= 0 && line.port <= UINT16_MAX && line.slots > 0 &&
                        line.queue_limit >= 0 && line.token_interval_ms >= 0 &&
                        line.prefill_ms >= 0 && line.cache_prefixes >= 0 &&
                        line.report_lag_ms >= 0 && line.load_ms >= 0;
  if (!in_range || (kind != "model" && kind != "plain") ||
      (fencing != "enforced" && fencing != "ignored")) {
    return std::nullopt;
  }
  return EngineOptions{.port = static_cast<std::uint16_t>(line.port),
                       .name = line.name,
                       .zone = line.zone,
                       .service = line.service,
                       .kind = kind == "plain" ? EngineKind::kPlain : EngineKind::kModel,
                       .slots = line.slots,
                       .queue_limit = line.queue_limit,
                       .token_interval = std::chrono::milliseconds(line.token_interval_ms),
                       .prefill = std::chrono::milliseconds(line.prefill_ms),
                       .cache_prefixes = line.cache_prefixes,
                       .report_lag = std::chrono::milliseconds(line.report_lag_ms),
                       .load_time = std::chrono::milliseconds(line.load_ms),
                       .fencing_enforced = fencing == "enforced",
                       .model = line.model,
                       .version = line.version,
                       .role = line.role};
}

int Serve(EngineOptions options) {
  const auto timers = framework::TimerService::OnMainContext(nullptr);
  EngineServer server(std::move(options), *timers);
  return boost::leaf::try_handle_all(
      [&]() -> framework::Result<int> {
        BOOST_LEAF_AUTO(port, server.Listen());
        std::printf("ready port=%u\n", port);
        std::fflush(stdout);
        framework::ProgramLoop* running = nullptr;
        const auto quit = [&running] { running->Quit(framework::kExitOk); };
        framework::ProgramLoop loop(quit, quit);
        running = &loop;
        return loop.Run();
      },
      [](const framework::HttpServerError& error) {
        framework::LogEvent(framework::Severity::kError, "listen_failed")
            .With("detail", error.detail);
        return framework::kExitFailure;
      },
      [] { return framework::kExitFailure; });
}

int Main(int argc, const char** argv) {
  framework::StartLogging(argv[0]);
  CommandLine line;
  const std::optional<int> exit_code = Read(argc, argv, line);
  if (exit_code) {
    return *exit_code;
  }
  std::optional<EngineOptions> options = OptionsOf(line);
  if (!options) {
    std::fprintf(stderr, "an option has an invalid value; see --help\n");
    return framework::kExitUsage;
  }
  return Serve(*std::move(options));
}

}  // namespace

}  // namespace lentilhead::standin

int main(int argc, char** argv) {
  return lentilhead::standin::Main(argc, const_cast<const char**>(argv));
}
