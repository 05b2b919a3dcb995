#include <variant>

#include "apps/common/start_program.h"
#include "apps/entry/entry_program.h"

int main(int argc, const char** argv) {
  using lentilhead::framework::ProgramExit;
  auto started = lentilhead::apps::StartProgram(
      argc, argv, "Serves callers, operators and peers of one instance of lentilhead.");
  if (const auto* program_exit = std::get_if<ProgramExit>(&started)) {
    return program_exit->code;
  }
  auto& settings = std::get<lentilhead::apps::InstanceSettings>(started);
  const std::string settings_file = settings.file;
  return lentilhead::apps::EntryProgram(std::move(settings), settings_file).Run();
}
