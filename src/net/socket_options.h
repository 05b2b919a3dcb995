#pragma once

#include "net/http_types.h"

namespace lentilhead::net {

/// Disables Nagle's algorithm, and lets the kernel close a connection whose peer stops
/// acknowledging.
/// @param silence longest time that sent data or a keep-alive probe may stay unacknowledged.
void SetSocketOptions(tcp::socket& socket, std::chrono::milliseconds silence);

/// Tells whether an idle connection can be reused: it is open, and no error or byte is pending.
[[nodiscard]] bool IsIdleAndOpen(tcp::socket& socket);

}  // namespace lentilhead::net
