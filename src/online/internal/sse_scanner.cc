#include "online/internal/sse_scanner.h"

namespace lentilhead::online::internal {

namespace {

constexpr std::string_view kDataField = "data:";

/// Position after the blank line that ends the event at `start`; npos if it is incomplete.
std::size_t EndOfEvent(std::string_view text, std::size_t start) {
  std::size_t line_end = text.find('\n', start);
  while (line_end != std::string_view::npos && line_end + 1 < text.size()) {
    const char next = text[line_end + 1];
    if (next == '\n') {
      return line_end + 2;
    }
    if (next == '\r' && line_end + 2 < text.size() && text[line_end + 2] == '\n') {
      return line_end + 3;
    }
    line_end = text.find('\n', line_end + 1);
  }
  return std::string_view::npos;
}

SseScanner::End EndOfStreamIn(std::string_view event) {
  if (event.substr(0, kDataField.size()) != kDataField) {
    return SseScanner::End::kOpen;
  }
  event.remove_prefix(kDataField.size());
  if (!event.empty() && event.front() == ' ') {
    event.remove_prefix(1);
  }
  if (event.substr(0, 6) == "[DONE]") {
    return SseScanner::End::kDone;
  }
  if (event.substr(0, 8) == "{\"error\"") {
    return SseScanner::End::kError;
  }
  return SseScanner::End::kOpen;
}

}  // namespace

SseScanner::ScanResult SseScanner::Feed(std::string_view bytes) {
  ScanResult result;
  if (this->end != End::kOpen) {
    return result;
  }
  this->pending.append(bytes);
  std::size_t consumed = 0;
  std::size_t next = EndOfEvent(this->pending, 0);
  while (next != std::string_view::npos && this->end == End::kOpen) {
    this->end = EndOfStreamIn(std::string_view{this->pending}.substr(consumed, next - consumed));
    if (this->end == End::kError) {
      break;
    }
    consumed = next;
    next = EndOfEvent(this->pending, consumed);
  }
  result.end = this->end;
  result.events.assign(this->pending, 0, consumed);
  this->pending.erase(0, consumed);
  return result;
}

}  // namespace lentilhead::online::internal
