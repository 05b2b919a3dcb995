#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "framework/types/program_options.h"

namespace lentilhead::apps::ctl {

/// Parsed command line and environment.
struct Options {
  std::vector<std::string> urls;  ///< `--url`, listeners for callers, in order of preference.
  std::vector<std::string> operator_urls;  ///< `--operator-url`, listeners for operators.
  std::string access_key;                  ///< Content of `--key-file`, or LENTILHEAD_KEY.
  bool json = false;
  bool dry_run = false;
  bool wait = false;
  std::optional<std::uint64_t> expected;
  std::optional<std::uint64_t> revision;
  std::optional<std::chrono::milliseconds> deadline;
  std::string service;
  std::string idempotency_key;
  std::optional<std::string> against;  ///< `--against`, file with the version in force.
  std::vector<std::string> words;      ///< Command and its arguments.
};

using OptionsOrExit = std::variant<Options, framework::ProgramExit>;

/// Parses the command line and the environment. Prints the usage, the version or an error itself.
OptionsOrExit ParseOptions(int argc, const char** argv);

}  // namespace lentilhead::apps::ctl
