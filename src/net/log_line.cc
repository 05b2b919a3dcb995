#include "net/log_line.h"

#include "net/log_sink.h"

namespace lentilhead::net {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void AppendQuoted(std::string& line, std::string_view value) {
  line.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line.push_back('\\');
    }
    line.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
  }
  line.push_back('"');
}

/// Appends the seconds since the epoch, with microseconds.
void AppendTime(std::string& line) {
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::string micros = std::to_string(now.count() % 1000000);
  line.append(std::to_string(now.count() / 1000000)).append(".");
  line.append(6 - micros.size(), '0').append(micros);
}

}  // namespace

LogLine::LogLine(std::string_view event, LogImportance importance)
    : importance(importance),
      is_admitted(LogSink::OfProcess().Admit(importance, std::chrono::steady_clock::now())) {
  if (!this->is_admitted) {
    return;
  }
  this->line.reserve(256);
  this->line.append("time=");
  AppendTime(this->line);
  this->line.append(" event=").append(event);
}

LogLine::~LogLine() {
  if (!this->is_admitted) {
    return;
  }
  this->line.push_back('\n');
  LogSink& sink = LogSink::OfProcess();
  sink.Append(this->line);
  if (this->importance == LogImportance::kNotable) {
    sink.Flush();
  }
}

LogLine& LogLine::With(std::string_view key, std::string_view value) {
  if (!this->is_admitted) {
    return *this;
  }
  this->line.append(" ").append(key).append("=");
  if (NeedsQuotes(value)) {
    AppendQuoted(this->line, value);
  } else {
    this->line.append(value);
  }
  return *this;
}

}  // namespace lentilhead::net
