#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/log_line.h"

namespace lentilhead::net {

/// Limits of a process's log.
struct LogBounds {
  std::uint32_t lines_per_second = 400;    ///< routine lines are dropped from half of this on
  std::size_t buffered_bytes = 256 << 10;  ///< buffer for a slow reader
};

/// Writes log lines to a descriptor without blocking; buffers them for a slow reader.
class LogSink {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// Returns the sink of this process, which writes to standard output.
  static LogSink& OfProcess();

  /// @param descriptor file descriptor that lines are written to.
  LogSink(int descriptor, LogBounds bounds);

  void SetBounds(LogBounds bounds) { this->bounds = bounds; }

  /// Counts a line against the limit of the current second. @return whether the line may be
  /// written.
  [[nodiscard]] bool Admit(LogImportance importance, Time now);

  /// Writes a line at once, so that a killed process has written what it did. At high rates the
  /// lines are buffered until there are enough for a write of full size.
  void Append(std::string_view line);

  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void Flush();

  /// Returns the number of lines dropped because of the rate limit or a full buffer.
  [[nodiscard]] std::uint64_t Dropped() const { return this->dropped; }

  /// Returns the number of lines dropped since the last call.
  [[nodiscard]] std::uint64_t TakeNewlyDropped();

 private:
  int descriptor;
  LogBounds bounds;
  std::string buffer;
  Time second_start;
  std::uint32_t lines_in_second = 0;
  std::uint64_t dropped = 0;
  std::uint64_t reported = 0;
};

}  // namespace lentilhead::net
