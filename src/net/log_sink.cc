#include "net/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace lentilhead::net {

namespace {

constexpr std::size_t kWriteBytes =
    4096;  // a pipe that poll reports as writable accepts a page without blocking
constexpr std::uint32_t kLinesWrittenAtOnce = 400;  // in a second; further ones are grouped

bool IsWritable(int descriptor) {
  pollfd state{descriptor, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

LogSink& LogSink::OfProcess() {
  static LogSink sink(STDOUT_FILENO, LogBounds{});
  return sink;
}

LogSink::LogSink(int descriptor, LogBounds bounds) : descriptor(descriptor), bounds(bounds) {}

bool LogSink::Admit(LogImportance importance, Time now) {
  if (now - this->second_start >= std::chrono::seconds(1)) {
    this->second_start = now;
    this->lines_in_second = 0;
  }
  const std::uint32_t limit = importance == LogImportance::kRoutine
                                  ? this->bounds.lines_per_second / 2
                                  : this->bounds.lines_per_second;
  if (this->lines_in_second >= limit) {
    ++this->dropped;
    return false;
  }
  ++this->lines_in_second;
  return true;
}

void LogSink::Append(std::string_view line) {
  if (this->buffer.size() + line.size() > this->bounds.buffered_bytes) {
    ++this->dropped;
    return;
  }
  this->buffer.append(line);
  const bool is_rate_low = this->lines_in_second <= kLinesWrittenAtOnce;
  if (is_rate_low || this->buffer.size() >= kWriteBytes) {
    this->Flush();
  }
}

void LogSink::Flush() {
  std::size_t done = 0;
  while (done < this->buffer.size() && IsWritable(this->descriptor)) {
    const std::size_t size = std::min(kWriteBytes, this->buffer.size() - done);
    const ssize_t written = ::write(this->descriptor, this->buffer.data() + done, size);
    if (written <= 0) {
      break;
    }
    done += static_cast<std::size_t>(written);
  }
  this->buffer.erase(0, done);
}

std::uint64_t LogSink::TakeNewlyDropped() {
  const std::uint64_t newly_dropped = this->dropped - this->reported;
  this->reported = this->dropped;
  return newly_dropped;
}

}  // namespace lentilhead::net
