#pragma once

#include <cstdint>
#include <string_view>

namespace lentilhead::gateway {

/// How far the write of a request has come, which goes on beside the read of its answer.
enum class RequestWrite : std::uint8_t {
  kPending,  ///< bytes are still to be written
  kDone,     ///< the socket has taken all of it
  kFailed,   ///< the connection was lost first
};

/// Name of a state in logs.
[[nodiscard]] constexpr std::string_view NameOf(RequestWrite write) {
  switch (write) {
    case RequestWrite::kPending:
      return "pending";
    case RequestWrite::kDone:
      return "done";
    case RequestWrite::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
