#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lentilhead::framework {

/// Cuts the bytes of a `text/event-stream` into the data of its events.
class EventStreamReader {
 public:
  /// Takes the data of one event; lines of an event are joined by line feeds.
  using EventHandler = std::function<void(std::string_view data)>;

  /// Takes bytes as they arrive and calls back for each event that they complete.
  void Feed(std::string_view bytes, const EventHandler& on_event);

  /// True if bytes of an unfinished event are held.
  [[nodiscard]] bool HasPartialEvent() const;

 private:
  void TakeLine(std::string_view line, const EventHandler& on_event);

  std::string partial_line;
  std::string data;
  bool has_data = false;
};

}  // namespace lentilhead::framework
