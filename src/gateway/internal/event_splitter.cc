#include "gateway/internal/event_splitter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "platform/header_names.h"

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

/// What a line of an event is.
enum class LineKind {
  kKnown,         ///< a field that events have, or a comment
  kUnknownField,  ///< may stand beside known fields
  kNoField,       ///< such as a line of an HTTP head, or text
};

constexpr std::array<std::string_view, 6> kKnownFields = {
    "", "id", "data", "event", "retry", platform::kWeightVersionsField};

LineKind KindOf(std::string_view line) {
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (std::ranges::find(kKnownFields, name) != kKnownFields.end()) {
    return LineKind::kKnown;
  }
  const bool is_name = std::ranges::all_of(name, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
  return is_name && colon != std::string_view::npos ? LineKind::kUnknownField : LineKind::kNoField;
}

std::optional<std::int64_t> ParseId(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  return is_number ? std::optional(number) : std::nullopt;
}

/// Kinds of the lines of an event.
struct LineCount {
  int ids = 0;
  int known = 0;
  int unknown_fields = 0;
  int no_fields = 0;

  void Add(std::string_view line) {
    const LineKind kind = KindOf(line);
    this->ids += ValueOf(line, "id") ? 1 : 0;
    this->known += kind == LineKind::kKnown ? 1 : 0;
    this->unknown_fields += kind == LineKind::kUnknownField ? 1 : 0;
    this->no_fields += kind == LineKind::kNoField ? 1 : 0;
  }

  /// An event with two ids is the beginning of one and the end of another.
  [[nodiscard]] bool IsEvent() const {
    return this->no_fields == 0 && this->ids <= 1 && (this->known > 0 || this->unknown_fields == 0);
  }
};

/// Returns the event with its id, if that is a number.
StreamEvent MakeEvent(std::string bytes) {
  StreamEvent event;
  event.bytes = std::move(bytes);
  std::string_view text = event.bytes;
  LineCount lines;
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    if (line.empty()) {
      continue;
    }
    lines.Add(line);
    const auto value = ValueOf(line, "id");
    event.has_content = event.has_content || value || ValueOf(line, "data");
    if (value) {
      event.id = ParseId(*value);
    }
  }
  event.is_well_formed = lines.IsEvent();
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
