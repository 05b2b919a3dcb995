#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lentilhead::gateway {

/// How the end of an endpoint's answer was established, for logs and metrics.
struct AnswerEnd {
  std::string_view sign;                ///< what is taken for the end
  std::size_t received = 0;             ///< bytes of the body, with its framing
  std::optional<std::uint64_t> length;  ///< that the answer states
  std::size_t behind = 0;               ///< bytes received behind the end
  bool is_framed = false;               ///< the answer itself marks its end
};

}  // namespace lentilhead::gateway
