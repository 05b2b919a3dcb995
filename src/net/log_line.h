#pragma once

#include <string>
#include <string_view>
#include <type_traits>

namespace lentilhead::net {

/// Importance of a line when the log's rate limit is reached.
enum class LogImportance {
  kRoutine,  ///< an expected event; dropped first
  kNotable,  ///< a refusal, a failure or a change of state
};

/// Appends one line of key=value pairs to the process's log, which is standard output, when the
/// object goes out of scope; routine lines are written in groups at high rates.
/// Never blocks: a line above the rate limit, or without space in the buffer because the reader is
/// slow, is dropped and counted.
class LogLine {
 public:
  /// @param event name of the event, in snake_case.
  explicit LogLine(std::string_view event, LogImportance importance = LogImportance::kNotable);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /// Adds a pair; a value with spaces, quotes, equals signs or line ends is quoted.
  LogLine& With(std::string_view key, std::string_view value);

  /// Adds a number or a boolean.
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
