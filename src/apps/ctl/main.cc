#include <cstdio>

#include "apps/ctl/commands.h"
#include "apps/ctl/exit_codes.h"
#include "apps/ctl/options.h"
#include "framework/program.h"

namespace lentilhead::apps::ctl {

namespace {

int Run(const Options& options) {
  ApiClient callers(options.urls, options.access_key);
  ApiClient operators(options.operator_urls, options.access_key);
  CommandContext context{options, callers, operators};
  for (const auto& run :
       {RunSheetCommand, RunFleetCommand, RunJobCommand, RunTraceCommand, RunConfigCommand}) {
    if (const std::optional<int> code = run(context)) {
      return *code;
    }
  }
  std::fprintf(stderr, "unknown command; see --help\n");
  return kExitBadUsage;
}

}  // namespace

}  // namespace lentilhead::apps::ctl

int main(int argc, const char** argv) {
  const auto options = lentilhead::apps::ctl::ParseOptions(argc, argv);
  if (const auto* program_exit = std::get_if<lentilhead::framework::ProgramExit>(&options)) {
    return program_exit->code;
  }
  return lentilhead::apps::ctl::Run(std::get<lentilhead::apps::ctl::Options>(options));
}
