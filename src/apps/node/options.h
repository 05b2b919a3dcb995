#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace lentilhead::node {

/// Command line of the program.
struct Options {
  std::string settings_path;          ///< empty: the path that the platform names
  std::uint16_t metrics_port = 9464;  ///< registered for Prometheus exporters
  std::uint32_t log_lines_per_second = 400;
  bool check_only = false;  ///< check the settings and end
};

/// The command line cannot be used.
struct UsageError {
  std::string message;
  int exit_code = 2;
};

/// Reads the command line.
[[nodiscard]] std::variant<Options, UsageError> ParseOptions(int argc, const char** argv);

}  // namespace lentilhead::node
