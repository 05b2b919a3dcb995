#pragma once

#include <string>
#include <variant>

namespace lentilhead::framework {

/// Options that every daemon takes.
struct ProgramOptions {
  std::string settings_file;
  bool check_settings = false;
};

/// Exit code of a program that must end before it starts its work.
struct ProgramExit {
  int code;
};

using ProgramOptionsOrExit = std::variant<ProgramOptions, ProgramExit>;

}  // namespace lentilhead::framework
