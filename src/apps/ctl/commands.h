#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "apps/ctl/api_client.h"
#include "apps/ctl/options.h"

namespace lentilhead::apps::ctl {

/// Options and clients of a command.
struct CommandContext {
  const Options& options;
  ApiClient& callers;    ///< Sends to the listeners for callers.
  ApiClient& operators;  ///< Sends to the listeners for operators.
};

/// Runs a command of one group. @return exit code; no value if the words name no such command.
std::optional<int> RunSheetCommand(CommandContext& context);
std::optional<int> RunFleetCommand(CommandContext& context);
std::optional<int> RunJobCommand(CommandContext& context);
std::optional<int> RunTraceCommand(CommandContext& context);
std::optional<int> RunConfigCommand(CommandContext& context);

/// Sends a request and prints its answer or error.
/// @param print prints a successful answer, unless `--json` asks for the answer as JSON.
/// @return exit code.
int RunRequest(const CommandContext& context, ApiClient& client, const ApiRequest& request,
               const std::function<void(const nlohmann::json&)>& print);

/// Tells whether the words are a group, a verb and the given number of arguments.
bool IsCommand(const Options& options, const char* group, const char* verb, std::size_t arguments);

/// Reads a file. @return its content; no value if it cannot be read, after printing an error.
std::optional<std::string> ReadFile(const std::string& path);

/// Percent-encodes text for one path segment or query value of a URL.
std::string UrlEncode(const std::string& text);

}  // namespace lentilhead::apps::ctl
