#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lentilhead::net {

/// Why the connection of a caller that reads slowly is closed.
enum class SlowReaderCause {
  kUnread,      ///< the caller has taken nothing for long
  kBudgetFull,  ///< the memory budget is nearly used up, and the caller holds the most of it
};

/// Returns the name of a cause, as in metrics and logs.
[[nodiscard]] std::string_view NameOf(SlowReaderCause cause);

/// A caller whose connection is to be closed.
struct SlowReader {
  std::uint64_t holder = 0;
  SlowReaderCause cause = SlowReaderCause::kUnread;
  std::size_t held = 0;  ///< bytes held for it
  /// Since the write in progress began, or since the caller last took bytes, by the cause.
  std::chrono::milliseconds waited{0};
};

}  // namespace lentilhead::net
