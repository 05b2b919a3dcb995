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
  bool has_content = false;  ///< has an id or data; otherwise it is blank or a comment
  /// Whether its lines can be those of an event or a comment, rather than of something else.
  bool is_well_formed = true;
};

/// Splits the bytes of an event stream into complete events. The work is linear in the bytes added.
class EventSplitter {
 public:
  /// Adds bytes. @return the events completed by them, in order.
  [[nodiscard]] std::vector<StreamEvent> Add(const std::string& bytes);

  /// Bytes of the incomplete last event.
  [[nodiscard]] const std::string& Rest() const { return this->rest; }

  /// Number of bytes examined so far, counted once for each time that a byte is examined.
  [[nodiscard]] std::uint64_t ExaminedBytes() const { return this->examined; }

 private:
  std::string rest;
  std::size_t line = 0;      ///< start of the last line of `rest`
  std::size_t searched = 0;  ///< the bytes of `rest` before this have been searched for line ends
  std::uint64_t examined = 0;
};

/// Returns the values of an event's data lines, joined with line feeds.
[[nodiscard]] std::string DataOf(const std::string& event);

}  // namespace lentilhead::gateway::internal
