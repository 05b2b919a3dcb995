#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// What an answer changed of the limit that its endpoint names.
enum class LimitChange {
  kNone,
  kNamed,    ///< a limit applies that did not apply before
  kChanged,  ///< the limit has another value
  kEnded,    ///< the endpoint names no limit any more
};

/// Name of a change in logs.
[[nodiscard]] constexpr std::string_view NameOf(LimitChange change) {
  switch (change) {
    case LimitChange::kNone:
      return "none";
    case LimitChange::kNamed:
      return "named";
    case LimitChange::kChanged:
      return "changed";
    case LimitChange::kEnded:
      return "ended";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
