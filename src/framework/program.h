#pragma once

#include <functional>
#include <string>
#include <vector>

#include "framework/types/program_options.h"

namespace lentilhead::framework {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitSettings = 3;

/// Parses the command line that every daemon shares: --settings, --check-settings, --version,
/// --help. Prints usage and version itself.
/// @param description one line for --help.
/// @return options, or an exit code if the program must end now.
ProgramOptionsOrExit ParseProgramOptions(int argc, const char** argv, const char* description);

/// Runs the default main loop of a daemon until it is told to quit.
///
/// SIGTERM and SIGINT call `on_terminate` once; a second signal calls `on_kill`.
class ProgramLoop {
 public:
  ProgramLoop(std::function<void()> on_terminate, std::function<void()> on_kill);
  ProgramLoop(const ProgramLoop&) = delete;
  ProgramLoop& operator=(const ProgramLoop&) = delete;
  ~ProgramLoop();

  /// Runs until Quit(). @return exit code given to Quit().
  int Run();

  /// Ends Run(). Thread safe.
  void Quit(int exit_code);

 private:
  static int HandleSignal(void* self);

  std::function<void()> on_terminate;
  std::function<void()> on_kill;
  void* loop;
  int signals = 0;
  int exit_code = 0;
  unsigned int sources[2];
};

}  // namespace lentilhead::framework
