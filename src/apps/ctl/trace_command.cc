#include <cstdio>
#include <filesystem>

#include "apps/ctl/commands.h"
#include "apps/ctl/exit_codes.h"
#include "apps/ctl/log_trace.h"

namespace lentilhead::apps::ctl {

std::optional<int> RunTraceCommand(CommandContext& context) {
  const std::vector<std::string>& words = context.options.words;
  if (words.size() < 3 || words[0] != "trace") {
    return std::nullopt;
  }
  LogTrace trace(words[1]);
  for (std::size_t index = 2; index < words.size(); ++index) {
    const std::optional<std::string> text = ReadFile(words[index]);
    if (!text) {
      return kExitBadUsage;
    }
    trace.AddLog(std::filesystem::path(words[index]).stem().string(), *text);
  }
  const std::vector<std::string> lines = trace.Render();
  for (const std::string& line : lines) {
    std::printf("%s\n", line.c_str());
  }
  if (lines.empty()) {
    std::fprintf(stderr, "no line has the id '%s'\n", words[1].c_str());
    return kExitRefused;
  }
  return 0;
}

}  // namespace lentilhead::apps::ctl
