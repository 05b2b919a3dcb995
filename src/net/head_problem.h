#pragma once

#include <cstdint>
#include <string_view>

namespace lentilhead::net {

/// Why the head of an answer does not tell a status and where its body ends.
enum class HeadProblem : std::uint8_t {
  kStatus,   ///< the status is not between 100 and 599
  kVersion,  ///< not HTTP/1.0 or HTTP/1.1
  kFraming,  ///< two readers may disagree on where the body ends
};

/// Name of a problem in logs and metrics.
[[nodiscard]] std::string_view NameOf(HeadProblem problem);

}  // namespace lentilhead::net
