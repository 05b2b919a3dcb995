#pragma once

#include "net/http_types.h"

namespace lentilhead::net {

/// Sets a socket to send at once and to notice a peer that has gone silent.
/// @param silence max_delay time that sent data or a keep-alive probe may stay unacknowledged.
void SetSocketOptions(tcp::socket& socket, std::chrono::milliseconds silence);

/// Tells whether an idle connection can carry another request: no end, error or byte is pending.
[[nodiscard]] bool IsIdleAndOpen(tcp::socket& socket);

}  // namespace lentilhead::net
