#pragma once

#include <string>
#include <vector>

namespace lentilhead::framework {

enum class SettingsProblemKind {
  kUnreadableFile,
  kInvalidToml,
  kMissingKey,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kInvalidValue,
};

/// One fault of a settings file.
struct SettingsProblem {
  SettingsProblemKind kind;
  std::string file;
  int line = 0;         ///< 1-based; 0 if the fault has no line.
  std::string key;      ///< Dotted path of the key.
  std::string message;  ///< What is expected.
};

/// Every fault of a settings file.
struct SettingsProblems {
  std::vector<SettingsProblem> problems;
};

/// Renders a fault as `file:line: key: message`.
std::string Describe(const SettingsProblem& problem);

}  // namespace lentilhead::framework
