#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "apps/ctl/api_client.h"
#include "apps/ctl/options.h"

namespace lentilhead::apps::ctl {

/// What a command works with.
struct CommandContext {
  const Options& options;
  ApiClient& callers;    ///< Client of the callers' listeners.
  ApiClient& operators;  ///< Client of the operators' listeners.
};

/// Runs a command. @return exit code; no value if the words are no command of the group.
std::optional<int> RunSheetCommand(CommandContext& context);
std::optional<int> RunFleetCommand(CommandContext& context);
std::optional<int> RunJobCommand(CommandContext& context);
std::optional<int> RunTraceCommand(CommandContext& context);

/// Sends a request and hands a successful answer to a printer; with `--json` prints the answer.
/// @return exit code.
int RunRequest(const CommandContext& context, ApiClient& client, const ApiRequest& request,
               const std::function<void(const nlohmann::json&)>& print);

/// True if the words begin with a group and a verb, and have a given number of arguments after.
bool IsCommand(const Options& options, const char* group, const char* verb, std::size_t arguments);

/// Reads a file whole. @return no value if it cannot be read; that has been reported.
std::optional<std::string> ReadFile(const std::string& path);

/// Encodes text for one segment or query value of a URL.
std::string UrlEncode(const std::string& text);

}  // namespace lentilhead::apps::ctl
