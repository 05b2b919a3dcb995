#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>

#include "framework/log_event.h"
#include "framework/program.h"
#include "load/experiment_reader.h"
#include "load/load_run.h"
#include "load/report_writer.h"

namespace lentilhead::apps {

namespace {

using framework::Result;

struct LoadOptions {
  std::string experiment;
  std::string fleet;
  std::string json_file;
  std::string html_file;
  bool check = false;
};

/// Copies a string that popt allocated, and frees it.
std::string TakeString(char* text) {
  std::string value = text == nullptr ? "" : text;
  std::free(text);
  return value;
}

struct PoptDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

std::variant<LoadOptions, framework::ProgramExit> ParseOptions(int argc, const char** argv) {
  char* fleet = nullptr;
  char* json_file = nullptr;
  char* html_file = nullptr;
  int check = 0;
  const poptOption table[] = {
      {"fleet", 'f', POPT_ARG_STRING, &fleet, 0, "File with the fleet's addresses and keys",
       "FILE"},
      {"json", 'j', POPT_ARG_STRING, &json_file, 0, "Write the report as JSON", "FILE"},
      {"html", 'w', POPT_ARG_STRING, &html_file, 0, "Write the report as an HTML page with plots",
       "FILE"},
      {"check", 'c', POPT_ARG_NONE, &check, 0, "Check the experiment file and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, 'V', "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter> context(
      poptGetContext(nullptr, argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(), "EXPERIMENT.toml");
  int option = 0;
  while ((option = poptGetNextOpt(context.get())) >= 0) {
    std::printf("lentilhead-load %s\n", LENTILHEAD_VERSION);
    return framework::ProgramExit{framework::kExitOk};
  }
  const char* experiment = poptGetArg(context.get());
  LoadOptions options{experiment == nullptr ? "" : experiment, TakeString(fleet),
                      TakeString(json_file), TakeString(html_file), check != 0};
  if (option < -1 || options.experiment.empty() || (options.fleet.empty() && !options.check)) {
    std::fprintf(stderr, "usage: lentilhead-load --fleet FILE EXPERIMENT.toml; see --help\n");
    return framework::ProgramExit{framework::kExitUsage};
  }
  return options;
}

Result<int> RunLoad(const LoadOptions& options) {
  framework::SettingsReader reader(options.experiment);
  BOOST_LEAF_AUTO(experiment, load::ReadExperiment(reader));
  if (options.check) {
    std::printf("experiment ok\n");
    return framework::kExitOk;
  }
  BOOST_LEAF_AUTO(fleet, load::FleetFile::Read(options.fleet));
  load::LoadRun run(std::move(experiment), std::move(fleet));
  const load::LoadReport report = run.Run();
  std::fputs(load::RenderTable(report).c_str(), stdout);
  if (!options.json_file.empty()) {
    std::ofstream(options.json_file) << load::RenderJson(report);
  }
  if (!options.html_file.empty()) {
    std::ofstream(options.html_file) << load::RenderHtml(report);
  }
  return report.IsClean() ? framework::kExitOk : framework::kExitFailure;
}

int Main(int argc, const char** argv) {
  const auto options = ParseOptions(argc, argv);
  if (const auto* program_exit = std::get_if<framework::ProgramExit>(&options)) {
    return program_exit->code;
  }
  framework::StartLogging(argv[0]);
  return boost::leaf::try_handle_all(
      [&] { return RunLoad(std::get<LoadOptions>(options)); },
      [](const framework::SettingsProblems& found) {
        for (const framework::SettingsProblem& problem : found.problems) {
          std::fprintf(stderr, "%s\n", framework::Describe(problem).c_str());
        }
        return framework::kExitSettings;
      },
      [](const load::FleetFileError& error) {
        std::fprintf(stderr, "invalid fleet file: %s\n", error.detail.c_str());
        return framework::kExitSettings;
      },
      [] { return framework::kExitFailure; });
}

}  // namespace

}  // namespace lentilhead::apps

int main(int argc, const char** argv) { return lentilhead::apps::Main(argc, argv); }
