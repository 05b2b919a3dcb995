#include "apps/ctl/commands.h"

#include <glib.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "apps/ctl/output.h"

namespace lentilhead::apps::ctl {

int RunRequest(const CommandContext& context, ApiClient& client, const ApiRequest& request,
               const std::function<void(const nlohmann::json&)>& print) {
  const auto reply = client.Send(request);
  if (!reply) {
    return ReportFailure(reply.Error());
  }
  if (reply.Value().head.status >= 300) {
    return ReportError(reply.Value());
  }
  const nlohmann::json body = nlohmann::json::parse(reply.Value().body, nullptr, false);
  if (body.is_discarded()) {
    return ReportFailure({true, "the answer is not JSON"});
  }
  if (context.options.json) {
    PrintJson(body);
  } else {
    print(body);
  }
  return 0;
}

bool IsCommand(const Options& options, const char* group, const char* verb, std::size_t arguments) {
  const auto& words = options.words;
  return words.size() == arguments + 2 && words[0] == group && words[1] == verb;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream || std::filesystem::is_directory(path)) {  // a directory opens, but reading it throws
    std::fprintf(stderr, "error: cannot read %s\n", path.c_str());
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::string UrlEncode(const std::string& text) {
  char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result(escaped);
  g_free(escaped);
  return result;
}

}  // namespace lentilhead::apps::ctl
