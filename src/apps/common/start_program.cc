#include "apps/common/start_program.h"

#include <cstdio>

#include "framework/log_event.h"

namespace lentilhead::apps {

namespace {

void PrintProblems(const framework::SettingsProblems& found) {
  for (const framework::SettingsProblem& problem : found.problems) {
    std::fprintf(stderr, "%s\n", framework::Describe(problem).c_str());
  }
}

SettingsOrExit ReadSettings(const std::string& file) {
  return boost::leaf::try_handle_all(
      [&]() -> framework::Result<SettingsOrExit> {
        BOOST_LEAF_AUTO(settings, InstanceSettings::Read(file));
        SettingsOrExit read(std::in_place_type<InstanceSettings>, settings);
        return read;
      },
      [](const framework::SettingsProblems& found) -> SettingsOrExit {
        PrintProblems(found);
        return framework::ProgramExit{framework::kExitSettings};
      },
      []() -> SettingsOrExit { return framework::ProgramExit{framework::kExitSettings}; });
}

}  // namespace

SettingsOrExit StartProgram(int argc, const char** argv, const char* description) {
  const framework::ProgramOptionsOrExit options =
      framework::ParseProgramOptions(argc, argv, description);
  if (const auto* program_exit = std::get_if<framework::ProgramExit>(&options)) {
    return *program_exit;
  }
  const auto& program_options = std::get<framework::ProgramOptions>(options);
  SettingsOrExit settings = ReadSettings(program_options.settings_file);
  if (std::holds_alternative<framework::ProgramExit>(settings)) {
    return settings;
  }
  if (program_options.check_settings) {
    std::printf("settings ok\n");
    return framework::ProgramExit{framework::kExitOk};
  }
  framework::StartLogging(argv[0]);
  return settings;
}

}  // namespace lentilhead::apps
