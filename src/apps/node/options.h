#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace lentilhead::node {

/// Command line of the program.
struct Options {
  std::string settings_path;          ///< empty: path from the environment
  std::uint16_t metrics_port = 9464;  ///< allocated to Prometheus exporters
  std::uint32_t log_lines_per_second = 400;
  bool check_only = false;  ///< check the settings and exit
};

/// Reason why the command line is invalid.
struct UsageError {
  std::string message;
  int exit_code = 2;
};

/// Parses the command line.
[[nodiscard]] std::variant<Options, UsageError> ParseOptions(int argc, const char** argv);

}  // namespace lentilhead::node
