#pragma once

#include <variant>

namespace lentilhead::gateway {

/// An answer names no limit.
struct NoLimitNamed {};

/// An answer names a limit that is no number; it says nothing.
struct LimitUnreadable {};

/// An answer names the requests that its endpoint takes from all nodes together.
struct LimitNamed {
  double requests_per_second = 0;
};

/// What an answer says of a limit on the requests to its endpoint.
using LimitNotice = std::variant<NoLimitNamed, LimitUnreadable, LimitNamed>;

}  // namespace lentilhead::gateway
