#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace lentilhead::framework {

enum class Severity { kInfo, kWarning, kError };

/// One log line of key=value pairs, written when the object goes out of scope.
///
///   LogEvent(Severity::kInfo, "sheet_accepted").With("revision", revision);
class LogEvent {
 public:
  /// @param event name of the event, in snake_case.
  LogEvent(Severity severity, std::string_view event);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  /// Adds a pair; values with spaces, quotes or line ends are quoted.
  LogEvent& With(std::string_view key, std::string_view value);

  /// Adds a number or a truth value.
  template <class Number>
  requires std::is_arithmetic_v<Number> LogEvent& With(std::string_view key, Number value) {
    if constexpr (std::is_same_v<Number, bool>) {
      return this->With(key, value ? std::string_view("true") : std::string_view("false"));
    } else {
      const std::string text = std::to_string(value);
      return this->With(key, std::string_view{text});
    }
  }

 private:
  Severity severity;
  std::string line;
};

/// Starts logging to standard error. @param program name of the running program.
void StartLogging(const char* program);

}  // namespace lentilhead::framework
