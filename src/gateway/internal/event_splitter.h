#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilhead::gateway::internal {

/// One event of a stream, with its bytes as received.
struct StreamEvent {
  std::string bytes;
  std::optional<std::int64_t> id;
};

/// Splits the bytes of an event stream into complete events.
class EventSplitter {
 public:
  /// Adds bytes. @return the events completed by them, in order.
  [[nodiscard]] std::vector<StreamEvent> Add(const std::string& bytes);

  /// Bytes of the incomplete last event.
  [[nodiscard]] const std::string& Rest() const { return this->rest; }

  /// Discards the incomplete last event.
  void Reset() { this->rest.clear(); }

 private:
  std::string rest;
};

/// Returns the values of an event's data lines, joined with line feeds.
[[nodiscard]] std::string DataOf(const std::string& event);

}  // namespace lentilhead::gateway::internal
