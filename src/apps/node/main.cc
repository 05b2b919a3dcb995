#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/node/node_program.h"
#include "apps/node/options.h"
#include "platform/settings_codec.h"

namespace {

constexpr int kExitBadSettings = 3;

int Start(lentilhead::node::Options options) {
  using lentilhead::gateway::NodeSettings;
  using lentilhead::platform::DecodeError;
  if (options.settings_path.empty()) {
    options.settings_path = lentilhead::platform::SettingsPath();
  }
  const std::ifstream file(options.settings_path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "lentilhead-node: cannot read settings file '" << options.settings_path << "'\n";
    return kExitBadSettings;
  }
  auto settings = lentilhead::platform::DecodeSettings(text.str());
  if (const auto* errors = std::get_if<std::vector<DecodeError>>(&settings)) {
    for (const DecodeError& error : *errors) {
      std::cerr << "lentilhead-node: " << options.settings_path << ": field '" << error.field
                << "': " << error.reason << "\n";
    }
    return kExitBadSettings;
  }
  if (options.check_only) {
    return 0;
  }
  // Never destroyed: tasks that are still suspended at the exit refer to its parts.
  static auto* const kProgram = new lentilhead::node::NodeProgram(
      std::move(options), std::move(std::get<NodeSettings>(settings)), text.str());
  return kProgram->Run();
}

}  // namespace

int main(int argc, const char** argv) {
  // Until the node handles it; the settings are read later than that.
  std::signal(SIGHUP, SIG_IGN);
  auto parsed = lentilhead::node::ParseOptions(argc, argv);
  if (const auto* error = std::get_if<lentilhead::node::UsageError>(&parsed)) {
    std::cerr << "lentilhead-node: " << error->message << "\n";
    return error->exit_code;
  }
  return Start(std::move(std::get<lentilhead::node::Options>(parsed)));
}
