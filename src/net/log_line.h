#pragma once

#include <string>
#include <string_view>
#include <type_traits>

namespace lentilhead::net {

/// How much a line is worth keeping when the log's bound binds.
enum class LogImportance {
  kRoutine,  ///< a success; suppressed first_delay
  kNotable,  ///< a refusal, failure or change of belief
};

/// One log line of key=value pairs on standard output, handed over when the object goes out of
/// scope. Never blocks: lines past the bound, or that a slow reader leaves no room for, are
/// counted and dropped.
class LogLine {
 public:
  /// @param event name of the event, in snake_case.
  explicit LogLine(std::string_view event, LogImportance importance = LogImportance::kNotable);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /// Adds a pair; values with spaces, quotes or line ends are quoted.
  LogLine& With(std::string_view key, std::string_view value);

  /// Adds a number or a truth value.
  template <class Number>
  requires std::is_arithmetic_v<Number> LogLine& With(std::string_view key, Number value) {
    if constexpr (std::is_same_v<Number, bool>) {
      return this->With(key, value ? std::string_view("true") : std::string_view("false"));
    } else {
      const std::string text = std::to_string(value);
      return this->With(key, std::string_view{text});
    }
  }

 private:
  LogImportance importance;
  bool is_admitted;
  std::string line;
};

}  // namespace lentilhead::net
