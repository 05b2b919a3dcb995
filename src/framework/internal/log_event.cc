#include "framework/log_event.h"

#include <glib.h>
#include <glog/logging.h>

#include <nlohmann/json.hpp>

namespace lentilhead::framework {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

const char* NameOf(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "unknown";
}

std::string CurrentTime() {
  GDateTime* now = g_date_time_new_now_utc();
  char* text = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
  std::string formatted(text);
  g_free(text);
  g_date_time_unref(now);
  return formatted;
}

}  // namespace

LogEvent::LogEvent(Severity severity, std::string_view event) : severity(severity) {
  this->line.append("time=").append(CurrentTime()).append(" level=").append(NameOf(severity));
  this->line.append(" event=").append(event);
}

LogEvent::~LogEvent() {
  switch (this->severity) {
    case Severity::kInfo:
      LOG(INFO) << this->line;
      return;
    case Severity::kWarning:
      LOG(WARNING) << this->line;
      return;
    case Severity::kError:
      LOG(ERROR) << this->line;
      return;
  }
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  this->line.append(" ").append(key).append("=");
  if (!NeedsQuotes(value)) {
    this->line.append(value);
    return *this;
  }
  const nlohmann::json quoted = std::string(value);
  this->line.append(quoted.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  return *this;
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(program);
}

}  // namespace lentilhead::framework
