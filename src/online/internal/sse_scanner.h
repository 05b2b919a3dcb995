#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lentilhead::online::internal {

/// Splits a server-sent event stream into whole events and detects its end. The payloads are not
/// parsed.
class SseScanner {
 public:
  enum class End {
    kOpen,   ///< The stream has not ended.
    kDone,   ///< The event `data: [DONE]` arrived.
    kError,  ///< An event whose payload starts with `{"error"` arrived.
  };

  /// Whole events that became available, and whether the stream has ended with them.
  struct ScanResult {
    std::string events;  ///< Up to and including the last whole event; an error event is left out.
    End end = End::kOpen;
  };

  /// Processes the next bytes of the stream. Bytes after the end are ignored.
  ScanResult Feed(std::string_view bytes);

  /// Number of buffered bytes of an incomplete event.
  [[nodiscard]] std::size_t PendingSize() const { return this->pending.size(); }

 private:
  std::string pending;
  End end = End::kOpen;
};

}  // namespace lentilhead::online::internal
