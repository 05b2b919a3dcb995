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

/// Returns the event with its last numeric id, if it has one.
StreamEvent MakeEvent(std::string bytes) {
  StreamEvent event;
  event.bytes = std::move(bytes);
  std::string_view text = event.bytes;
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    const auto value = ValueOf(line, "id");
    event.has_content = event.has_content || value || ValueOf(line, "data");
    std::int64_t number = 0;
    if (value &&
        std::from_chars(value->data(), value->data() + value->size(), number).ec == std::errc()) {
      event.id = number;
    }
  }
  return event;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Add(const std::string& bytes) {
  std::vector<StreamEvent> events;
  this->rest += bytes;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = this->rest.find('\n', this->searched);
    const std::size_t next = end == std::string::npos ? this->rest.size() : end + 1;
    this->examined += next - this->searched;
    this->searched = next;
    if (end == std::string::npos) {
      break;
    }
    const bool empty =
        end == this->line || (end == this->line + 1 && this->rest[this->line] == '\r');
    this->line = next;
    if (empty) {
      this->examined += next - start;
      events.push_back(MakeEvent(this->rest.substr(start, next - start)));
      start = next;
    }
  }
  this->rest.erase(0, start);
  this->line -= start;
  this->searched -= start;
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
