#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/log_line.h"

namespace lentilhead::net {

/// Bounds of the log of a process.
struct LogBounds {
  std::uint32_t lines_per_second = 400;    ///< lines a second; routine lines may use half of them
  std::size_t buffered_bytes = 256 << 10;  ///< bytes held for a reader that is slow
};

/// Destination of log lines: a descriptor that is written without blocking.
class LogSink {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// The sink of this process, on standard output.
  static LogSink& OfProcess();

  /// @param descriptor file descriptor that lines are written to.
  LogSink(int descriptor, LogBounds bounds);

  /// Changes the bounds.
  void SetBounds(LogBounds bounds) { this->bounds = bounds; }

  /// Takes one line of the present second's allowance. @return whether the line may be written.
  [[nodiscard]] bool Admit(LogImportance importance, Time now);

  /// Appends a line and writes what the descriptor takes without blocking.
  void Append(std::string_view line);

  /// Writes what is buffered as far as the descriptor takes it.
  void Flush();

  /// Lines dropped so far, because of the rate or for want of room.
  [[nodiscard]] std::uint64_t Suppressed() const { return this->suppressed; }

  /// Lines dropped since the last call.
  [[nodiscard]] std::uint64_t TakeUnreported();

 private:
  int descriptor;
  LogBounds bounds;
  std::string buffer;
  Time second_start;
  std::uint32_t lines_in_second = 0;
  std::uint64_t suppressed = 0;
  std::uint64_t reported = 0;
};

}  // namespace lentilhead::net
