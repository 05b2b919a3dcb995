#pragma once

#include <variant>

#include "apps/common/instance_settings.h"
#include "framework/program.h"

namespace lentilhead::apps {

/// Settings of a daemon, or its exit code if it must not start.
using SettingsOrExit = std::variant<InstanceSettings, framework::ProgramExit>;

/// Parses the command line of a daemon, reads its settings and starts its log. Prints every error
/// in the settings to standard error. With --check-settings, prints `settings ok` and returns exit
/// code 0 if there is none.
SettingsOrExit StartProgram(int argc, const char** argv, const char* description);

}  // namespace lentilhead::apps
