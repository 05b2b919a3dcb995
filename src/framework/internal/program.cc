#include "framework/program.h"

#include <glib-unix.h>
#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

namespace lentilhead::framework {

namespace {

struct PoptDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

using PoptContext = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter>;

constexpr int kVersionOption = 'V';

}  // namespace

ProgramOptionsOrExit ParseProgramOptions(int argc, const char** argv, const char* description) {
  char* settings_file = nullptr;
  int check_settings = 0;
  const poptOption table[] = {
      {"settings", 's', POPT_ARG_STRING, &settings_file, 0, "Settings file in TOML", "FILE"},
      {"check-settings", 'c', POPT_ARG_NONE, &check_settings, 0,
       "Check the settings, list every error, and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, kVersionOption, "Print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(poptGetContext(nullptr, argc, argv, table, 0));
  poptSetOtherOptionHelp(context.get(), description);
  int option = 0;
  while ((option = poptGetNextOpt(context.get())) >= 0) {
    if (option == kVersionOption) {
      std::printf("%s %s\n", argv[0], LENTILHEAD_VERSION);
      return ProgramExit{kExitOk};
    }
  }
  if (option < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(option));
    return ProgramExit{kExitUsage};
  }
  if (poptPeekArg(context.get()) != nullptr) {
    std::fprintf(stderr, "%s: unexpected argument\n", poptPeekArg(context.get()));
    return ProgramExit{kExitUsage};
  }
  if (settings_file == nullptr) {
    std::fprintf(stderr, "--settings FILE is required; see --help\n");
    return ProgramExit{kExitUsage};
  }
  ProgramOptions options{settings_file, check_settings != 0};
  std::free(settings_file);
  return options;
}

ProgramLoop::ProgramLoop(std::function<void()> on_terminate, std::function<void()> on_kill)
    : on_terminate(std::move(on_terminate)),
      on_kill(std::move(on_kill)),
      loop(g_main_loop_new(nullptr, FALSE)),
      sources{g_unix_signal_add(SIGTERM, HandleSignal, this),
              g_unix_signal_add(SIGINT, HandleSignal, this)} {}

ProgramLoop::~ProgramLoop() {
  for (const unsigned int source : this->sources) {
    g_source_remove(source);
  }
  g_main_loop_unref(static_cast<GMainLoop*>(this->loop));
}

int ProgramLoop::Run() {
  g_main_loop_run(static_cast<GMainLoop*>(this->loop));
  return this->exit_code;
}

void ProgramLoop::Quit(int code) {
  this->exit_code = code;
  g_main_context_invoke(
      nullptr,
      [](gpointer loop) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_REMOVE;
      },
      this->loop);
}

int ProgramLoop::HandleSignal(void* self) {
  auto* program = static_cast<ProgramLoop*>(self);
  program->signals += 1;
  if (program->signals == 1) {
    program->on_terminate();
  } else {
    program->on_kill();
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace lentilhead::framework
