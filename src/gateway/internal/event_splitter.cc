#include "gateway/internal/event_splitter.h"

#include <charconv>
#include <string_view>

namespace lentilhead::gateway::internal {

namespace {

/// Removes the next line from `text` and returns it without its line ending.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// Returns the value of a line with the field `name`, or nothing for another line.
std::optional<std::string_view> ValueOf(std::string_view line, std::string_view name) {
  if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':') {
    return std::nullopt;
  }
  line.remove_prefix(name.size() + 1);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

/// Returns the last numeric id of an event, or nothing.
std::optional<std::int64_t> IdOf(std::string_view event) {
  std::optional<std::int64_t> id;
  while (!event.empty()) {
    const auto value = ValueOf(TakeLine(event), "id");
    std::int64_t number = 0;
    if (value &&
        std::from_chars(value->data(), value->data() + value->size(), number).ec == std::errc()) {
      id = number;
    }
  }
  return id;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Add(const std::string& bytes) {
  std::vector<StreamEvent> events;
  this->rest += bytes;
  std::size_t start = 0;
  std::size_t line = 0;
  while (true) {
    const std::size_t end = this->rest.find('\n', line);
    if (end == std::string::npos) {
      break;
    }
    const bool empty = end == line || (end == line + 1 && this->rest[line] == '\r');
    line = end + 1;
    if (empty) {
      std::string event = this->rest.substr(start, line - start);
      const std::optional<std::int64_t> id = IdOf(event);
      events.push_back({std::move(event), id});
      start = line;
    }
  }
  this->rest.erase(0, start);
  return events;
}

std::string DataOf(const std::string& event) {
  std::string data;
  bool first = true;
  std::string_view text = event;
  while (!text.empty()) {
    const auto value = ValueOf(TakeLine(text), "data");
    if (!value) {
      continue;
    }
    if (!first) {
      data.push_back('\n');
    }
    data.append(*value);
    first = false;
  }
  return data;
}

}  // namespace lentilhead::gateway::internal
