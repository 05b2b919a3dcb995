#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/result.h"
#include "framework/types/settings_problem.h"

namespace lentilhead::framework {

/// Reads a TOML file key by key and gathers every fault instead of stopping at the first.
///
/// Keys are dotted paths such as `entry.listen.port`. Each getter returns the fallback, or a
/// neutral value, after it has recorded a fault, so one pass over a file finds all of them. Keys
/// that no getter asked for are reported by Finish().
class SettingsReader {
 public:
  /// Opens and parses a file; a parse error is recorded as a problem.
  explicit SettingsReader(const std::string& file);

  /// Parses text, for tests. @param name stands for the file in problems.
  SettingsReader(const std::string& text, const std::string& name);

  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  [[nodiscard]] bool Has(const std::string& key) const;

  std::string RequiredString(const std::string& key);
  std::string String(const std::string& key, const std::string& fallback);
  std::int64_t RequiredInteger(const std::string& key, std::int64_t lowest, std::int64_t highest);
  std::int64_t Integer(const std::string& key, std::int64_t fallback, std::int64_t lowest,
                       std::int64_t highest);
  double Number(const std::string& key, double fallback, double lowest, double highest);
  bool Boolean(const std::string& key, bool fallback);
  std::vector<std::string> Strings(const std::string& key);

  /// Reads a duration given in milliseconds. By convention such keys end in `_ms`.
  std::chrono::milliseconds Milliseconds(const std::string& key, std::chrono::milliseconds fallback,
                                         std::chrono::milliseconds lowest,
                                         std::chrono::milliseconds highest);

  /// Reads one of a fixed set of words.
  std::string Choice(const std::string& key, const std::string& fallback,
                     const std::vector<std::string>& allowed);

  /// Number of tables in an array of tables; its keys are read as `name[0].key`.
  [[nodiscard]] std::size_t TableCount(const std::string& key);

  /// Names of the tables or values directly under a table.
  [[nodiscard]] std::vector<std::string> KeysUnder(const std::string& key);

  /// Records a fault found by the caller, at the line of the key.
  void Report(SettingsProblemKind kind, const std::string& key, const std::string& message);

  /// Ends the reading. @return SettingsProblems as the error if there was any fault.
  Result<void> Finish();

 private:
  struct Document;

  void Parse(const std::string& text);
  void Touch(const std::string& key);

  std::string file;
  std::unique_ptr<Document> document;
  std::set<std::string> touched;
  std::vector<SettingsProblem> problems;
};

}  // namespace lentilhead::framework
