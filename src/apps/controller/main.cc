#include <cstdlib>
#include <memory>
#include <string>

#include "apps/common/start_program.h"
#include "apps/controller/controller.h"
#include "framework/program.h"

namespace {

int Run(const lentilhead::apps::InstanceSettings& settings) {
  std::unique_ptr<lentilhead::apps::Controller> controller;
  lentilhead::framework::ProgramLoop loop(
      [&] { controller->Leave([&] { loop.Quit(lentilhead::framework::kExitOk); }); },
      [&] { loop.Quit(lentilhead::framework::kExitFailure); });
  controller = std::make_unique<lentilhead::apps::Controller>(settings);
  if (!controller->Start()) {
    return lentilhead::framework::kExitFailure;
  }
  const int code = loop.Run();
  controller.reset();
  return code;
}

}  // namespace

int main(int argc, const char** argv) {
  const auto settings = lentilhead::apps::StartProgram(
      argc, argv,
      "Sends orders to endpoints so that they serve the sheet, while it is the leader.");
  if (const auto* program_exit = std::get_if<lentilhead::framework::ProgramExit>(&settings)) {
    return program_exit->code;
  }
  return Run(std::get<lentilhead::apps::InstanceSettings>(settings));
}
