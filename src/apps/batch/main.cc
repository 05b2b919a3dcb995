#include <cstdio>

#include "apps/batch/batch_program.h"
#include "apps/common/start_program.h"
#include "framework/log_event.h"
#include "framework/program.h"

namespace {

using lentilhead::apps::BatchProgram;
using lentilhead::apps::InstanceSettings;
namespace framework = lentilhead::framework;

std::uint16_t Start(BatchProgram& program) {
  return boost::leaf::try_handle_all([&] { return program.Start(); },
                                     [](const framework::HttpServerError& error) {
                                       std::fprintf(stderr, "cannot listen: %s\n",
                                                    error.detail.c_str());
                                       return std::uint16_t{0};
                                     },
                                     [] { return std::uint16_t{0}; });
}

int Run(const InstanceSettings& settings) {
  BatchProgram program(settings);
  framework::ProgramLoop* running = nullptr;
  const auto on_terminate = [&] { program.Drain([&] { running->Quit(framework::kExitOk); }); };
  const auto on_kill = [&] {
    const framework::LogEvent event(framework::Severity::kWarning, "batch_killed");
    running->Quit(framework::kExitFailure);
  };
  framework::ProgramLoop loop(on_terminate, on_kill);
  running = &loop;
  const std::uint16_t port = Start(program);
  if (port == 0) {
    return framework::kExitFailure;
  }
  std::printf("ready port=%u\n", static_cast<unsigned>(port));
  std::fflush(stdout);
  return loop.Run();
}

}  // namespace

int main(int argc, const char** argv) {
  auto settings = lentilhead::apps::StartProgram(
      argc, argv, "Runs batch jobs: sends their items to endpoints and stores the results.");
  if (const auto* program_exit = std::get_if<framework::ProgramExit>(&settings)) {
    return program_exit->code;
  }
  return Run(std::get<InstanceSettings>(settings));
}
