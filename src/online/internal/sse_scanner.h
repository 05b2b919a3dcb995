#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lentilhead::online::internal {

/// Finds the borders of the events of a server-sent event stream without reading their payloads.
class SseScanner {
 public:
  enum class End {
    kOpen,   ///< The stream goes on.
    kDone,   ///< The event `data: [DONE]` arrived.
    kError,  ///< An event whose payload is an error object arrived.
  };

  /// Whole events that became available, and whether the stream has ended with them.
  struct ScanResult {
    std::string events;  ///< Up to and including the last whole event; an error event is left out.
    End end = End::kOpen;
  };

  /// Takes the next bytes of the stream. Bytes after the end are ignored.
  ScanResult Feed(std::string_view bytes);

  /// Bytes of an event that is not whole yet.
  [[nodiscard]] std::size_t PendingSize() const { return this->pending.size(); }

 private:
  std::string pending;
  End end = End::kOpen;
};

}  // namespace lentilhead::online::internal
