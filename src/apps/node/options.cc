#include "apps/node/options.h"

#include <popt.h>

#include <array>
#include <memory>

namespace lentilhead::node {

namespace {

constexpr int kMaxPort = 65535;

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

}  // namespace

std::variant<Options, UsageError> ParseOptions(int argc, const char** argv) {
  Options options;
  char* settings_path = nullptr;
  int metrics_port = options.metrics_port;
  int log_lines = static_cast<int>(options.log_lines_per_second);
  int check_only = 0;
  std::array<poptOption, 6> table = {{
      {"settings", 's', POPT_ARG_STRING, &settings_path, 0, "settings file", "FILE"},
      {"metrics-port", 'm', POPT_ARG_INT, &metrics_port, 0, "port that serves the metrics", "PORT"},
      {"log-lines", 'l', POPT_ARG_INT, &log_lines, 0, "maximum of log lines per second", "N"},
      {"check", 'c', POPT_ARG_NONE, &check_only, 0, "check the settings and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter> context(
      poptGetContext("lentilhead-node", argc, argv, table.data(), 0));
  const int outcome = poptGetNextOpt(context.get());
  if (outcome < -1) {
    return UsageError{std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(outcome)};
  }
  if (const char* extra = poptGetArg(context.get()); extra != nullptr) {
    return UsageError{std::string(extra) + ": unexpected argument"};
  }
  if (metrics_port < 1 || metrics_port > kMaxPort) {
    return UsageError{"--metrics-port: port from 1 to 65535 expected"};
  }
  if (log_lines < 1) {
    return UsageError{"--log-lines: number of 1 or more expected"};
  }
  if (settings_path != nullptr) {
    options.settings_path = settings_path;
  }
  options.metrics_port = static_cast<std::uint16_t>(metrics_port);
  options.log_lines_per_second = static_cast<std::uint32_t>(log_lines);
  options.check_only = check_only != 0;
  return options;
}

}  // namespace lentilhead::node
