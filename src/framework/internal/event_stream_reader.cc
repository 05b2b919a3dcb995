#include "framework/event_stream_reader.h"

namespace lentilhead::framework {

namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

void EventStreamReader::Feed(std::string_view bytes, const EventHandler& on_event) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      this->partial_line.append(bytes);
      return;
    }
    const std::string_view piece = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (this->partial_line.empty()) {
      this->TakeLine(piece, on_event);
      continue;
    }
    this->partial_line.append(piece);
    const std::string line = std::move(this->partial_line);
    this->partial_line.clear();
    this->TakeLine(line, on_event);
  }
}

bool EventStreamReader::HasPartialEvent() const {
  return this->has_data || !this->partial_line.empty();
}

void EventStreamReader::TakeLine(std::string_view line, const EventHandler& on_event) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (this->has_data) {
      const std::string event = std::move(this->data);
      this->data.clear();
      this->has_data = false;
      on_event(event);
    }
    return;
  }
  if (!line.starts_with(kDataField)) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (this->has_data) {
    this->data.push_back('\n');
  }
  this->data.append(line);
  this->has_data = true;
}

}  // namespace lentilhead::framework
