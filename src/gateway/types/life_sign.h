#pragma once

#include <cstdint>
#include <string_view>

namespace lentilhead::gateway {

/// What shows that an endpoint was alive after a connection to it had ended in good order.
enum class LifeSign : std::uint8_t {
  kNone,            ///< nothing does
  kHealthAnswer,    ///< it answers a health call
  kAccepted,        ///< its address accepts connections, and its service states no health call
  kIdleConnection,  ///< an idle connection to it is open
  kOtherAnswer,     ///< it goes on with another answer
};

/// Name of a sign in logs and metrics.
[[nodiscard]] constexpr std::string_view NameOf(LifeSign sign) {
  switch (sign) {
    case LifeSign::kNone:
      return "none";
    case LifeSign::kHealthAnswer:
      return "health_answer";
    case LifeSign::kAccepted:
      return "accepted";
    case LifeSign::kIdleConnection:
      return "idle_connection";
    case LifeSign::kOtherAnswer:
      return "other_answer";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
