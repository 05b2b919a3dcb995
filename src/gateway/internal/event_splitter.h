#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilhead::gateway::internal {

/// One event of a stream, byte for byte as it came.
struct StreamEvent {
  std::string bytes;
  std::optional<std::int64_t> id;
};

/// Cuts the bytes of an event stream into whole events.
class EventSplitter {
 public:
  /// Adds bytes. @return the events that are whole now, in order.
  [[nodiscard]] std::vector<StreamEvent> Add(const std::string& bytes);

  /// Bytes of an event that has not ended.
  [[nodiscard]] const std::string& Rest() const { return this->rest; }

  /// Forgets an event that has not ended.
  void Reset() { this->rest.clear(); }

 private:
  std::string rest;
};

/// Joins the data lines of an event with line feeds.
[[nodiscard]] std::string DataOf(const std::string& event);

}  // namespace lentilhead::gateway::internal
