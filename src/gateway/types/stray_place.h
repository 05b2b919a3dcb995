#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// Where an endpoint sent bytes that belong to no answer expected on the connection.
enum class StrayPlace {
  kIdle,          ///< received after an answer, on a connection that no request uses any more
  kBeforeAnswer,  ///< an answer to another request, received before the one expected
  kAfterAnswer,   ///< received together with the end of an answer
};

/// Name of a place in logs and metrics.
[[nodiscard]] inline std::string_view NameOf(StrayPlace place) {
  switch (place) {
    case StrayPlace::kIdle:
      return "idle";
    case StrayPlace::kBeforeAnswer:
      return "before_answer";
    case StrayPlace::kAfterAnswer:
      return "after_answer";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
